package laurelkeel.soak;

/** How much a client has read, and the longest time for which it read nothing. Times are seconds of the run's clock. Thread-safe. */
final class ReadProgress {
    private long bytes;
    private double lastReadAt;
    private double longestSilence;

    /** @param now the time from which the client expects responses */
    ReadProgress(double now) {
        lastReadAt = now;
    }

    synchronized void read(int count, double now) {
        bytes += count;
        silentUntil(now);
        lastReadAt = now;
    }

    /** Records that nothing was read since the last read. */
    synchronized void silentUntil(double now) {
        longestSilence = Math.max(longestSilence, now - lastReadAt);
    }

    synchronized long bytes() {
        return bytes;
    }

    synchronized double longestSilenceSeconds() {
        return longestSilence;
    }
}

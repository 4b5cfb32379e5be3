package laurelkeel.front.ingress;

/**
 * Measures the time for which the pending writes of a connection have made no progress. The resolution is the interval between
 * calls.
 *
 * <p>Not thread-safe; called on the event loop's thread.
 */
final class WriteStallDetector {
    private long lastWrittenBytes = -1;
    private long lastProgressTicks;

    /**
     * Returns the time without progress; 0 if no write is pending.
     *
     * @param writtenBytes number of bytes written on the connection since it opened
     * @param writesPending whether any write is incomplete
     */
    long stalledTicks(long writtenBytes, boolean writesPending, long nowTicks) {
        if (!writesPending || writtenBytes != lastWrittenBytes) {
            lastWrittenBytes = writtenBytes;
            lastProgressTicks = nowTicks;
        }
        return nowTicks - lastProgressTicks;
    }
}

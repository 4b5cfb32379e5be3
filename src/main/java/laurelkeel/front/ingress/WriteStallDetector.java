package laurelkeel.front.ingress;

/**
 * Measures how long the pending writes of a connection have made no progress, as seen by its calls.
 *
 * <p>Not thread-safe; called on the event loop's thread.
 */
final class WriteStallDetector {
    private long lastWrittenBytes = -1;
    private long lastProgressTicks;

    /**
     * Returns the time without progress, in ticks; 0 where no write is pending.
     *
     * @param writtenBytes written on the connection since it opened
     * @param writesPending whether any write waits to be completed
     */
    long stalledTicks(long writtenBytes, boolean writesPending, long nowTicks) {
        if (!writesPending || writtenBytes != lastWrittenBytes) {
            lastWrittenBytes = writtenBytes;
            lastProgressTicks = nowTicks;
        }
        return nowTicks - lastProgressTicks;
    }
}

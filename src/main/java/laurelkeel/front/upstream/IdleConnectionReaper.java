package laurelkeel.front.upstream;

import laurelkeel.eventloop.EventLoop;

/**
 * Periodically closes connections whose idle timeout has expired, and removes unused pools.
 *
 * <p>Not thread-safe; called on the event loop's thread.
 */
final class IdleConnectionReaper {
    private static final long SWEEP_INTERVAL_TICKS = 10_000;

    private final EventLoop loop;
    private final EndpointPoolRegistry pools;
    private final long idleTimeoutTicks;

    IdleConnectionReaper(EventLoop loop, EndpointPoolRegistry pools, long idleTimeoutTicks) {
        this.loop = loop;
        this.pools = pools;
        this.idleTimeoutTicks = idleTimeoutTicks;
    }

    void start() {
        scheduleNext();
    }

    private void scheduleNext() {
        loop.schedule(loop.nowTicks() + SWEEP_INTERVAL_TICKS, this::sweep);
    }

    private void sweep() {
        scheduleNext();
        pools.closeIdleSinceBefore(loop.nowTicks() - idleTimeoutTicks);
        pools.removeUnused();
    }
}

package laurelkeel.decision;

import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Ticks;

/** Decides when to poll the endpoint list: at intervals of half its maximum age, with backoff after failures. */
final class EndpointPoller {
    private static final long MIN_BACKOFF_TICKS = Ticks.PER_SECOND / 2;
    private static final long MAX_BACKOFF_TICKS = 4 * Ticks.PER_SECOND;
    /** A poll without a response is repeated after this time. */
    private static final long POLL_TIMEOUT_TICKS = 5 * Ticks.PER_SECOND;

    private final boolean isEnabled;
    private final long pollIntervalTicks;
    private boolean isPollPending;
    private long nextPollAtTicks;
    private long backoffTicks = MIN_BACKOFF_TICKS;

    /**
     * Creates a poller.
     *
     * @param isEnabled whether the endpoint list has to be polled
     * @param maxAgeTicks maximum age of the endpoint list
     */
    EndpointPoller(boolean isEnabled, long maxAgeTicks) {
        this.isEnabled = isEnabled;
        pollIntervalTicks = maxAgeTicks / 2;
    }

    /** Records an update of the endpoint list. A cached endpoint list does not complete a poll. */
    void updateReceived(EndpointListKind kind, long nowTicks) {
        if (kind == EndpointListKind.FAILED) {
            isPollPending = false;
            nextPollAtTicks = nowTicks + backoffTicks;
            backoffTicks = Math.min(backoffTicks * 2, MAX_BACKOFF_TICKS);
        } else if (kind != EndpointListKind.CACHED) {
            backoffTicks = MIN_BACKOFF_TICKS;
            if (isPollPending) {
                isPollPending = false;
                nextPollAtTicks = nowTicks + pollIntervalTicks;
            }
        }
    }

    /** Returns whether to poll the endpoint list now; if so, the poll is recorded as sent. */
    boolean startPoll(long nowTicks) {
        if (!isEnabled || nowTicks < nextPollAtTicks) {
            return false;
        }
        isPollPending = true;
        nextPollAtTicks = nowTicks + POLL_TIMEOUT_TICKS;
        return true;
    }
}

package laurelkeel.decision;

import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Ticks;

/** Decides when to ask for the endpoint list where it is polled: twice in its longest age, with backoff after failures. */
final class EndpointPoller {
    private static final long MIN_BACKOFF_TICKS = Ticks.PER_SECOND / 2;
    private static final long MAX_BACKOFF_TICKS = 4 * Ticks.PER_SECOND;
    /** A poll that has no answer after it is repeated. */
    private static final long POLL_TIMEOUT_TICKS = 5 * Ticks.PER_SECOND;

    private final boolean isEnabled;
    private final long pollIntervalTicks;
    private boolean isPollPending;
    private long nextPollAtTicks;
    private long backoffTicks = MIN_BACKOFF_TICKS;

    /** @param maxAgeTicks how old the list may become */
    EndpointPoller(boolean isEnabled, long maxAgeTicks) {
        this.isEnabled = isEnabled;
        pollIntervalTicks = maxAgeTicks / 2;
    }

    /** Takes note of an update of the list; a cached list answers no poll. */
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

    /** Whether the list is to be asked for now; a poll then counts as sent. */
    boolean startPoll(long nowTicks) {
        if (!isEnabled || nowTicks < nextPollAtTicks) {
            return false;
        }
        isPollPending = true;
        nextPollAtTicks = nowTicks + POLL_TIMEOUT_TICKS;
        return true;
    }
}

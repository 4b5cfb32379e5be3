package laurelkeel.testbed;

import laurelkeel.eventloop.EventLoop.ScheduledTask;
import org.jspecify.annotations.Nullable;

/** One request of a call, or a complaint about a response to it. Not thread-safe; used on the generator's loop. */
final class GeneratedRequest {
    final ClientCall call;
    final String requestId;
    final int nodeIndex;
    final long deadlineTicks;
    final boolean isComplaint;
    private @Nullable ScheduledTask deadlineTimer;
    private @Nullable ScheduledTask earlyCloseTimer;
    private boolean hasEnded;

    GeneratedRequest(ClientCall call, String requestId, int nodeIndex, long deadlineTicks, boolean isComplaint) {
        this.call = call;
        this.requestId = requestId;
        this.nodeIndex = nodeIndex;
        this.deadlineTicks = deadlineTicks;
        this.isComplaint = isComplaint;
    }

    void setDeadlineTimer(ScheduledTask timer) {
        deadlineTimer = timer;
    }

    void setEarlyCloseTimer(ScheduledTask timer) {
        earlyCloseTimer = timer;
    }

    boolean hasEnded() {
        return hasEnded;
    }

    /**
     * Ends the request and cancels its timers.
     *
     * @return false if it had already ended
     */
    boolean end() {
        if (hasEnded) {
            return false;
        }
        hasEnded = true;
        if (deadlineTimer != null) {
            deadlineTimer.cancel();
        }
        if (earlyCloseTimer != null) {
            earlyCloseTimer.cancel();
        }
        return true;
    }
}

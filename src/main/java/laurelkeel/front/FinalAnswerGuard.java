package laurelkeel.front;

import laurelkeel.eventloop.EventLoop;

/**
 * Enforces that each request gets exactly one final answer before its deadline and that no attempt is sent for it
 * afterwards, whatever the decider does. Not thread-safe; used on the event loop's thread.
 */
final class FinalAnswerGuard {
    /** An overdue request is answered this long before its deadline, so that the answer still arrives in time. */
    private static final long GUARD_MARGIN_TICKS = 10;

    private final EventLoop loop;
    private final boolean enabled;

    /**
     * Creates the guard.
     *
     * @param enabled false lets a decider break these rules, for tests that the audit detects it
     */
    FinalAnswerGuard(EventLoop loop, boolean enabled) {
        this.loop = loop;
        this.enabled = enabled;
    }

    boolean permitsAttempt(AcceptedRequest request) {
        return !enabled || (!request.isAnswered() && !request.isExpired(loop.nowTicks()));
    }

    boolean permitsAnswer(AcceptedRequest request) {
        return !enabled || !request.isAnswered();
    }

    /** Schedules a task shortly before the deadline of a request; answering the request cancels it. */
    void watch(AcceptedRequest request, Runnable onOverdue) {
        if (enabled) {
            request.setOverdueTimer(loop.schedule(request.deadlineTicks() - GUARD_MARGIN_TICKS, onOverdue));
        }
    }
}

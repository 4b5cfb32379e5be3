package laurelkeel.bench;

import java.util.List;
import laurelkeel.api.Action;

/**
 * Formats actions for the recorded checksums. The format is that of the first recording and independent of the present
 * names of types and of the present log messages, so that the recorded checksums stay valid.
 */
final class RecordedActionFormat {
    /** A part of a log message, and the text in its place at the first recording. */
    private record Replacement(String current, String recorded) {}

    /** Replacements in log messages, applied in this order. */
    private static final List<Replacement> LOG_REPLACEMENTS = List.of(
            new Replacement(" CANARY", " TRIAL"),
            new Replacement(" ROLLING_BACK", " GOING_BACK"),
            new Replacement(" ROLLED_BACK", " WITHDRAWN"),
            new Replacement("votes to roll back build", "votes back on build"),
            new Replacement("higher error rate on", "errors on"),
            new Replacement("higher complaint rate on", "complaints on"),
            new Replacement("on all routes", "on route 3"),
            new Replacement("all endpoints slowed down in", "slows all in"),
            new Replacement(" s, latency ratio before", " seconds, before"),
            new Replacement("latency ratio", "slow"),
            new Replacement(" answers, baseline", ", earlier"),
            new Replacement(" answers", ""),
            new Replacement(" over ", " of "));

    private RecordedActionFormat() {}

    /**
     * Formats an action.
     *
     * @throws IllegalStateException if actions of this type have no recorded form
     */
    static String format(Action action) {
        if (action instanceof Action.SendAttempt send) {
            return "Send[req=" + send.requestId() + ", machine=" + send.endpointId() + ", within=" + send.timeoutTicks()
                    + "]";
        }
        if (action instanceof Action.CancelAttempt cancel) {
            return "StopTry[req=" + cancel.requestId() + ", tryNo=" + cancel.attempt() + "]";
        }
        if (action instanceof Action.RejectRequest reject) {
            return "Shed[req=" + reject.requestId() + ", retryAfter=" + reject.retryAfterTicks() + "]";
        }
        if (action instanceof Action.FailRequest fail) {
            return "Err[req=" + fail.requestId() + "]";
        }
        if (action instanceof Action.StartTimer timer) {
            return "Timer[when=" + timer.dueAtTicks() + ", handle=" + timer.timerId() + "]";
        }
        if (action instanceof Action.WriteLog log) {
            return "Log[text=" + formatLog(log.message()) + "]";
        }
        return formatControl(action);
    }

    /** Formats actions that do not concern a single request. */
    private static String formatControl(Action action) {
        if (action instanceof Action.SendHealthCheck check) {
            return "Probe[machine=" + check.endpointId() + "]";
        }
        if (action instanceof Action.CloseIdleConnections close) {
            return "CloseIdle[machine=" + close.endpointId() + "]";
        }
        if (action instanceof Action.SendGossip gossip) {
            return "tell " + gossip.toNode();
        }
        if (action instanceof Action.WatchEndpoints watch) {
            return "WatchList[on=" + watch.enabled() + "]";
        }
        if (action instanceof Action.FetchEndpoints) {
            return "FetchList[]";
        }
        if (action instanceof Action.CastVote vote) {
            return "Vote[build=" + vote.build() + ", stage=" + vote.stage() + ", verdict="
                    + formatVerdict(vote.verdict()) + "]";
        }
        throw new IllegalStateException("no recorded form for action: " + action);
    }

    private static String formatVerdict(Action.Verdict verdict) {
        return switch (verdict) {
            case NONE -> "NONE";
            case PROMOTE -> "ON";
            case HOLD -> "HOLD";
            case ROLL_BACK -> "BACK";
        };
    }

    private static String formatLog(String message) {
        String text = message;
        for (Replacement replacement : LOG_REPLACEMENTS) {
            text = text.replace(replacement.current, replacement.recorded);
        }
        return text;
    }
}

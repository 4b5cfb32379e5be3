package laurelkeel.front;

import java.util.EnumMap;
import java.util.Map;
import laurelkeel.api.Event.AttemptOutcome;

/**
 * Counts requests and attempts since the node's start, for the log. Not thread-safe; used on the event loop's thread.
 */
final class RequestTotals {
    private final Map<RequestOutcome, Long> answers = new EnumMap<>(RequestOutcome.class);
    private final Map<AttemptOutcome, Long> attempts = new EnumMap<>(AttemptOutcome.class);
    private long accepted;

    void requestAccepted() {
        accepted++;
    }

    void answered(RequestOutcome outcome) {
        answers.merge(outcome, 1L, Long::sum);
    }

    void attemptEnded(AttemptOutcome outcome) {
        attempts.merge(outcome, 1L, Long::sum);
    }

    @Override
    public String toString() {
        return "requests " + accepted + ", answers " + answers + ", attempts " + attempts;
    }
}

package laurelkeel.front;

import java.util.EnumMap;
import java.util.Map;
import laurelkeel.api.Event.AttemptOutcome;

/** Counts of requests and attempts since the start, for the log; on the front's thread. */
final class RequestTotals {
    private final Map<RequestOutcome, Long> answers = new EnumMap<>(RequestOutcome.class);
    private final Map<AttemptOutcome, Long> attempts = new EnumMap<>(AttemptOutcome.class);
    private long taken;

    void taken() {
        taken++;
    }

    void answered(RequestOutcome how) {
        answers.merge(how, 1L, Long::sum);
    }

    void attemptEnded(AttemptOutcome outcome) {
        attempts.merge(outcome, 1L, Long::sum);
    }

    @Override
    public String toString() {
        return "requests " + taken + ", answers " + answers + ", attempts " + attempts;
    }
}

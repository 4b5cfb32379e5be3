package laurelkeel.front;

import java.util.EnumMap;
import java.util.Map;
import laurelkeel.api.Event.Outcome;

/** Counts of requests and attempts since the start, for the log; on the front's thread. */
final class RequestTotals {
    private final Map<End, Long> answers = new EnumMap<>(End.class);
    private final Map<Outcome, Long> attempts = new EnumMap<>(Outcome.class);
    private long taken;

    void taken() {
        taken++;
    }

    void answered(End how) {
        answers.merge(how, 1L, Long::sum);
    }

    void attemptEnded(Outcome outcome) {
        attempts.merge(outcome, 1L, Long::sum);
    }

    @Override
    public String toString() {
        return "requests " + taken + ", answers " + answers + ", attempts " + attempts;
    }
}

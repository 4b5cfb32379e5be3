package laurelkeel.front.upstream;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.LoadReport;
import laurelkeel.wire.Crossing;
import laurelkeel.wire.HopByHop;
import laurelkeel.wire.HttpAnswer;
import laurelkeel.wire.Names;

/**
 * A machine's whole answer, read by the thread that has its connection.
 *
 * @param crossing what of it goes on to the client
 * @param load what the machine told of its load, by name; empty for nothing
 * @param last the machine ends the connection with it
 */
public record Came(AttemptOutcome outcome, Crossing crossing, LoadReport load, boolean last) {
    /** What only a front says: a machine that says it is not believed. Its load is for the front alone. */
    private static final Collection<String> OWN = HopByHop.names(
            Names.LOAD, Names.ANSWER, Names.RETRY, Names.RETRY_AFTER_MS, Names.TAKEN, Names.REF, Names.RAN);

    public static Came of(HttpAnswer a) {
        boolean refused = (a.status() == 503 || a.status() == 429)
                && "no".equals(a.headers().get(Names.RAN));
        AttemptOutcome outcome = refused
                ? AttemptOutcome.OVERLOADED
                : a.status() < 500 ? AttemptOutcome.COMPLETED : AttemptOutcome.FAILED;
        // only what completed goes on to a client
        return new Came(
                outcome,
                outcome == AttemptOutcome.COMPLETED ? Crossing.of(a, OWN) : null,
                load(a.headers().get(Names.LOAD)),
                a.last());
    }

    private static LoadReport load(String told) {
        if (told == null) {
            return LoadReport.NONE;
        }
        Map<String, Double> out = new HashMap<>();
        for (String pair : told.split(",")) {
            int eq = pair.indexOf('=');
            try {
                if (eq > 0) {
                    out.put(
                            pair.substring(0, eq).strip(),
                            Double.parseDouble(pair.substring(eq + 1).strip()));
                }
            } catch (NumberFormatException e) {
                // one value that is no number: the rest still tell
            }
        }
        return new LoadReport(out);
    }
}

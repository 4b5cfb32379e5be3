package laurelkeel.front.upstream;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.LoadReport;
import laurelkeel.wire.ForwardedMessage;
import laurelkeel.wire.HeaderNames;
import laurelkeel.wire.HopByHop;
import laurelkeel.wire.HttpResponse;

/**
 * A machine's whole answer, read by the thread that has its connection.
 *
 * @param crossing what of it goes on to the client
 * @param load what the machine told of its load, by name; empty for nothing
 * @param last the machine ends the connection with it
 */
public record EndpointResponse(
        AttemptOutcome outcome, ForwardedMessage forwarded, LoadReport loadReport, boolean closesConnection) {
    /** What only a front says: a machine that says it is not believed. Its load is for the front alone. */
    private static final Collection<String> OWN = HopByHop.names(
            HeaderNames.LOAD_REPORT,
            HeaderNames.RESULT,
            HeaderNames.RETRY_SAFETY,
            HeaderNames.RETRY_AFTER_MS,
            HeaderNames.ACCEPTED,
            HeaderNames.RESPONSE_REFERENCE,
            HeaderNames.EXECUTED);

    public static EndpointResponse of(HttpResponse a) {
        boolean refused = (a.status() == 503 || a.status() == 429)
                && "no".equals(a.headers().get(HeaderNames.EXECUTED));
        AttemptOutcome outcome = refused
                ? AttemptOutcome.OVERLOADED
                : a.status() < 500 ? AttemptOutcome.COMPLETED : AttemptOutcome.FAILED;
        // only what completed goes on to a client
        return new EndpointResponse(
                outcome,
                outcome == AttemptOutcome.COMPLETED ? ForwardedMessage.of(a, OWN) : null,
                loadReport(a.headers().get(HeaderNames.LOAD_REPORT)),
                a.closesConnection());
    }

    private static LoadReport loadReport(String told) {
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

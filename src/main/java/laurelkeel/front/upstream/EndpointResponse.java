package laurelkeel.front.upstream;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.LoadReport;
import laurelkeel.text.DecimalNumbers;
import laurelkeel.wire.ByteBudget;
import laurelkeel.wire.ForwardedMessage;
import laurelkeel.wire.HeaderNames;
import laurelkeel.wire.HopByHop;
import laurelkeel.wire.HttpResponse;
import org.jspecify.annotations.Nullable;

/**
 * A complete response from an endpoint, parsed on the I/O thread that read it.
 *
 * @param outcome the outcome of the attempt
 * @param forwarded the part that is forwarded to the client; null unless the attempt completed
 * @param loadReport the load that the endpoint reported
 * @param closesConnection whether the endpoint closes the connection after this response
 */
public record EndpointResponse(
        AttemptOutcome outcome, @Nullable ForwardedMessage forwarded, LoadReport loadReport, boolean closesConnection) {
    /** Headers that only a front node may set, and the load report, which is intended only for the front node. */
    private static final Collection<String> NOT_FORWARDED = HopByHop.names(
            HeaderNames.LOAD_REPORT,
            HeaderNames.RESULT,
            HeaderNames.RETRY_SAFETY,
            HeaderNames.RETRY_AFTER_MS,
            HeaderNames.ACCEPTED,
            HeaderNames.RESPONSE_REFERENCE,
            HeaderNames.EXECUTED);

    /** Creates a response from its HTTP status and Laurelkeel's own headers. */
    public static EndpointResponse of(HttpResponse response) {
        AttemptOutcome outcome = outcomeOf(response);
        return new EndpointResponse(
                outcome,
                outcome == AttemptOutcome.COMPLETED ? ForwardedMessage.of(response, NOT_FORWARDED) : null,
                loadReport(response.headers().get(HeaderNames.LOAD_REPORT)),
                response.closesConnection());
    }

    private static AttemptOutcome outcomeOf(HttpResponse response) {
        int status = response.status();
        if ((status == 503 || status == 429) && "no".equals(response.headers().get(HeaderNames.EXECUTED))) {
            return AttemptOutcome.OVERLOADED;
        }
        return status < 500 ? AttemptOutcome.COMPLETED : AttemptOutcome.FAILED;
    }

    private static LoadReport loadReport(@Nullable String header) {
        if (header == null) {
            return LoadReport.NONE;
        }
        Map<String, Double> values = new HashMap<>();
        for (String pair : header.split(",", -1)) {
            int equals = pair.indexOf('=');
            try {
                if (equals > 0) {
                    values.put(
                            pair.substring(0, equals).strip(),
                            DecimalNumbers.parse(pair.substring(equals + 1).strip()));
                }
            } catch (NumberFormatException ignored) {
                // skip a malformed value and use the others
            }
        }
        return new LoadReport(values);
    }

    /** Releases the bytes of the forwarded body, if any, to the budget from which they were reserved. */
    void releaseBody(ByteBudget budget) {
        if (forwarded != null) {
            budget.release(forwarded.body().length);
        }
    }
}

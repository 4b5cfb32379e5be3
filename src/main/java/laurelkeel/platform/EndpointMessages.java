package laurelkeel.platform;

import java.util.List;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.front.upstream.EndpointResponse;
import laurelkeel.wire.ForwardedMessage;
import laurelkeel.wire.Headers;
import laurelkeel.wire.HttpResponse;
import laurelkeel.wire.MessageBuilder;

/** Writes a front node's messages to endpoints and parses their responses; thread-safe. */
final class EndpointMessages {
    static final String HEALTH_CHECK_PATH = "/load";

    private static final String HOST = "app.svc";
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private EndpointMessages() {}

    /**
     * Writes the headers that this node adds to an attempt.
     *
     * @param timeoutTicks how long this node waits for the response; a negative value counts as 0
     */
    static void writeAttemptHeaders(MessageBuilder message, long timeoutTicks) {
        message.appendHeader(PlatformHeaders.HOST, HOST)
                .appendHeader(PlatformHeaders.REMAINING_SECONDS, DecimalSeconds.formatTicks(Math.max(0, timeoutTicks)));
    }

    /** Returns a complete request for an endpoint's health and load. */
    static byte[] healthCheckRequest(MessageBuilder message) {
        return message.appendText("GET " + HEALTH_CHECK_PATH + " HTTP/1.1\r\n")
                .appendHeader(PlatformHeaders.HOST, HOST)
                .appendText("\r\n")
                .takeBytes();
    }

    /** Parses a complete response; only the body is forwarded to the client, and only if the attempt completed. */
    static EndpointResponse parse(HttpResponse response) {
        AttemptOutcome outcome = outcome(response);
        ForwardedMessage forwarded = outcome == AttemptOutcome.COMPLETED
                ? ForwardedMessage.of(new HttpResponse(OK, new Headers(), response.body()), List.of())
                : null;
        return new EndpointResponse(
                outcome,
                forwarded,
                LoadReportParser.parse(response.headers().get(PlatformHeaders.LOAD_REPORT)),
                response.closesConnection() || outcome == AttemptOutcome.CONNECTION_LOST);
    }

    private static AttemptOutcome outcome(HttpResponse response) {
        int status = response.status();
        if (status == OK) {
            // the platform serves 200 and a body; one without a body has lost it, whether or not more bytes follow
            return response.body().length > 0 ? AttemptOutcome.COMPLETED : AttemptOutcome.CONNECTION_LOST;
        }
        boolean notExecuted = (status == SERVICE_UNAVAILABLE || status == GATEWAY_TIMEOUT)
                && PlatformHeaders.FLAG_SET.equals(response.headers().get(PlatformHeaders.NOT_EXECUTED));
        return notExecuted ? AttemptOutcome.OVERLOADED : AttemptOutcome.FAILED;
    }
}

package laurelkeel.front;

import java.nio.charset.StandardCharsets;
import java.util.function.IntToLongFunction;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.front.ingress.ClientRequest;
import laurelkeel.front.ingress.RouteTable;
import laurelkeel.front.upstream.EndpointResponse;
import laurelkeel.wire.HeaderNames;
import laurelkeel.wire.Headers;
import laurelkeel.wire.HttpProtocolException;
import laurelkeel.wire.HttpRequest;
import laurelkeel.wire.HttpResponse;
import laurelkeel.wire.MessageBuilder;

/** The words of laurelkeel.wire.Names; docs/front.md explains each. */
final class StandaloneProtocol implements Protocol {
    /** Where clients complain of an answer; a path of the front's own. */
    static final String COMPLAINTS = "/.laurelkeel/complaints";

    private static final long RETRY_AT_DOOR = 1000;

    private final RouteTable table;
    private final IntToLongFunction timeouts;
    private final String fullName, probePath;

    StandaloneProtocol(RouteTable table, IntToLongFunction timeouts, String fullName, String probePath) {
        this.table = table;
        this.timeouts = timeouts;
        this.fullName = fullName;
        this.probePath = probePath;
    }

    @Override
    public boolean isNodeRequest(HttpRequest http) {
        return http.path().equals(COMPLAINTS) && http.method().equals("POST");
    }

    @Override
    public ClientRequest parseRequest(HttpRequest http) throws HttpProtocolException {
        return ClientRequest.read(http, table, timeouts);
    }

    @Override
    public HttpResponse badRequest(HttpProtocolException bad, HttpRequest http) {
        HttpResponse a = plain(bad.status(), bad.getMessage());
        if (bad.status() == 405 && http != null) {
            a.headers().add("Allow", table.allowedMethods(http.path()));
        }
        return a;
    }

    @Override
    public HttpResponse notAccepted(String why) {
        HttpResponse a = rejected(RETRY_AT_DOOR, why);
        a.headers().add(HeaderNames.ACCEPTED, "no");
        return a;
    }

    /** 503 and the word that asking again is harmless. */
    @Override
    public HttpResponse rejected(long after, String why) {
        HttpResponse a = plain(503, why);
        a.headers().add(HeaderNames.RESULT, "shed").add(HeaderNames.RETRY_SAFETY, "harmless");
        if (after > 0) {
            a.headers().add(HeaderNames.RETRY_AFTER, Long.toString((after + 9_999) / 10_000));
            a.headers().add(HeaderNames.RETRY_AFTER_MS, Long.toString((after + 9) / 10));
        }
        return a;
    }

    /** 502 or 504, which promise nothing of what ran. */
    @Override
    public HttpResponse failed(boolean late, String why) {
        HttpResponse a = plain(late ? 504 : 502, why);
        a.headers().add(HeaderNames.RESULT, "errored");
        return a;
    }

    static HttpResponse plain(int status, String text) {
        return new HttpResponse(
                status,
                Headers.of("Content-Type", "text/plain; charset=utf-8"),
                (text + "\n").getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public EndpointResponse parseResponse(HttpResponse answer) {
        return EndpointResponse.of(answer);
    }

    @Override
    public AttemptOutcome unreadableOutcome() {
        return AttemptOutcome.FAILED;
    }

    @Override
    public void writeAttemptHeaders(MessageBuilder to, String machine, int tryNo, long left, long within) {
        to.appendHeader("Host", machine)
                .appendHeader(HeaderNames.REMAINING, Long.toString(Math.max(0, left / 10)))
                .appendHeader(HeaderNames.ATTEMPT, Integer.toString(tryNo))
                .appendHeader(HeaderNames.FRONT, fullName);
    }

    @Override
    public void writeResponseHeaders(MessageBuilder to, String id) {
        to.appendHeader(HeaderNames.RESULT, "completed").appendHeader(HeaderNames.RESPONSE_REFERENCE, id);
    }

    @Override
    public byte[] healthCheckRequest(MessageBuilder to, String machine) {
        return to.appendText("GET ")
                .appendText(probePath)
                .appendText(" HTTP/1.1\r\n")
                .appendHeader("Host", machine)
                .appendText("\r\n")
                .takeBytes();
    }
}

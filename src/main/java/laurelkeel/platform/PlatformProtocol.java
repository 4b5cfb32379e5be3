package laurelkeel.platform;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Settings;
import laurelkeel.api.Settings.Idempotency;
import laurelkeel.front.Protocol;
import laurelkeel.front.ingress.ClientRequest;
import laurelkeel.front.upstream.EndpointResponse;
import laurelkeel.options.OptionsParser;
import laurelkeel.wire.ForwardedMessage;
import laurelkeel.wire.Headers;
import laurelkeel.wire.HttpProtocolException;
import laurelkeel.wire.HttpRequest;
import laurelkeel.wire.HttpResponse;
import laurelkeel.wire.MessageBuilder;

/** The platform's words on both sides of a front node. */
final class PlatformProtocol implements Protocol {
    static final String HEALTH = "/healthz";
    private static final String ID = "X-Correlation-Id",
            CUSTOMER = "X-Account",
            KEY = "X-Session-Key",
            LEFT = "X-Time-Left",
            REPEAT = "X-Repeat",
            MARK = "Idempotency-Key",
            NOT_RUN = "X-Unprocessed",
            LOAD = "X-Backend-Load";
    /** What a name may have: more than any that the platform makes, and few enough to keep thousands of them. */
    private static final int LONGEST_NAME = 128;

    private final Map<String, Integer> routes = new HashMap<>(), customers = new HashMap<>();
    private final List<Settings.Route> set;
    private final Settings.Capabilities allowed;
    private final boolean marksRepeats;

    PlatformProtocol(Settings settings, OptionsParser.SocketOptions real) {
        real.routes().forEach(r -> routes.put(r, routes.size()));
        real.tenants().forEach(c -> customers.put(c, customers.size()));
        set = settings.routes();
        allowed = settings.capabilities();
        marksRepeats = real.clientsMarkRetries();
    }

    /** The number of a route by its name; -1 for one that is not known. */
    int route(String name) {
        return routes.getOrDefault(name, -1);
    }

    // ---- clients

    @Override
    public boolean isNodeRequest(HttpRequest http) {
        return http.path().equals(HEALTH);
    }

    @Override
    public ClientRequest parseRequest(HttpRequest http) throws HttpProtocolException {
        String path = http.path();
        int end = path.indexOf('/', 1);
        int route = route(end < 0 ? path.substring(1) : path.substring(1, end));
        if (route < 0) {
            throw new HttpProtocolException(404, "no route has this path");
        }
        boolean safe = set.get(route).idempotency() == Idempotency.IDEMPOTENT;
        if (!http.method().equals(safe ? "GET" : "POST")) {
            throw new HttpProtocolException(405, "this path takes " + (safe ? "GET" : "POST"));
        }
        if (safe && http.body().length > 0) {
            throw new HttpProtocolException(400, "a GET has no body");
        }
        String id = name(http, ID);
        if (id == null) {
            throw new HttpProtocolException(400, ID + " is missing");
        }
        String mark = name(http, MARK);
        if (mark == null && set.get(route).idempotency() == Idempotency.DEDUPLICATED) {
            throw new HttpProtocolException(400, MARK + " is missing");
        }
        String of = name(http, CUSTOMER);
        Integer customer = customers.isEmpty() ? Integer.valueOf(0) : of == null ? null : customers.get(of);
        if (customer == null) {
            throw new HttpProtocolException(400, CUSTOMER + " names no customer");
        }
        Headers crossing = Headers.of(ID, id);
        if (mark != null) {
            crossing.add(MARK, mark);
        }
        return new ClientRequest(
                id,
                ForwardedMessage.of(new HttpRequest(http.method(), http.target(), 1, crossing, http.body()), List.of()),
                false,
                http.closesConnection(),
                route,
                customer,
                name(http, KEY),
                left(http, set.get(route).timeoutTicks()),
                0,
                marksRepeats && "1".equals(http.headers().get(REPEAT)));
    }

    private static String name(HttpRequest http, String header) throws HttpProtocolException {
        String s = http.headers().get(header);
        if (s != null
                && (s.isEmpty() || s.length() > LONGEST_NAME || http.headers().count(header) > 1)) {
            throw new HttpProtocolException(
                    400, header + " must stand once, with 1 to " + LONGEST_NAME + " characters");
        }
        return s;
    }

    /** Tenths of a millisecond, rounded down: the client must never be answered later than it waits. */
    private static long left(HttpRequest http, long most) throws HttpProtocolException {
        String s = http.headers().get(LEFT);
        try {
            double d = s == null ? 0 : Double.parseDouble(s);
            if (d > 0 && !Double.isInfinite(d)) {
                return (long) Math.min(most, Math.floor(d * 10_000 + 1e-6));
            }
        } catch (NumberFormatException e) {
            // told below
        }
        throw new HttpProtocolException(400, LEFT + " must be a number of seconds above 0");
    }

    private static HttpResponse plain(int status, String text) {
        return new HttpResponse(
                status, Headers.of("Content-Type", "text/plain"), (text + "\n").getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public HttpResponse badRequest(HttpProtocolException bad, HttpRequest http) {
        return plain(bad.status(), bad.getMessage());
    }

    @Override
    public HttpResponse notAccepted(String why) {
        return rejected(allowed.retryAfter() ? allowed.maxRetryAfterTicks() : 0, why);
    }

    @Override
    public HttpResponse rejected(long after, String why) {
        HttpResponse a = plain(503, why);
        if (after > 0) {
            long ms = (after + 9) / 10;
            String rest = Long.toString(1000 + ms % 1000).substring(1);
            a.headers().add("Retry-After", ms / 1000 + "." + rest);
        }
        return a;
    }

    @Override
    public HttpResponse failed(boolean late, String why) {
        return plain(late ? 504 : 502, why);
    }

    // ---- machines

    @Override
    public EndpointResponse parseResponse(HttpResponse a) {
        boolean neverRan = (a.status() == 503 || a.status() == 504)
                && "1".equals(a.headers().get(NOT_RUN));
        AttemptOutcome outcome = neverRan
                ? AttemptOutcome.OVERLOADED
                : a.status() == 200 ? AttemptOutcome.COMPLETED : AttemptOutcome.FAILED;
        // the body alone is the client's: what else a machine says is for the front
        ForwardedMessage crossing = outcome != AttemptOutcome.COMPLETED
                ? null
                : ForwardedMessage.of(new HttpResponse(200, new Headers(), a.body()), List.of());
        return new EndpointResponse(
                outcome, crossing, LoadReportParser.read(a.headers().get(LOAD)), a.closesConnection());
    }

    /** Noise may come from any machine alike and says nothing of its build; the req has run. */
    @Override
    public AttemptOutcome unreadableOutcome() {
        return AttemptOutcome.CONNECTION_LOST;
    }

    @Override
    public void writeAttemptHeaders(MessageBuilder to, String machine, int tryNo, long left, long within) {
        String rest = Long.toString(10_000 + Math.max(0, within) % 10_000).substring(1);
        to.appendHeader("Host", "app.svc").appendHeader(LEFT, Math.max(0, within) / 10_000 + "." + rest);
    }

    @Override
    public void writeResponseHeaders(MessageBuilder to, String id) {}

    @Override
    public byte[] healthCheckRequest(MessageBuilder to, String machine) {
        return to.appendText("GET /load HTTP/1.1\r\n")
                .appendHeader("Host", "app.svc")
                .appendText("\r\n")
                .takeBytes();
    }
}

package laurelkeel.platform;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Settings;
import laurelkeel.api.Settings.Idempotency;
import laurelkeel.front.Dialect;
import laurelkeel.front.ingress.Asked;
import laurelkeel.front.upstream.Came;
import laurelkeel.options.Options;
import laurelkeel.wire.BadHttp;
import laurelkeel.wire.Crossing;
import laurelkeel.wire.Headers;
import laurelkeel.wire.HttpAnswer;
import laurelkeel.wire.HttpReq;
import laurelkeel.wire.Lines;

/** The platform's words on both sides of a front node. */
final class Words implements Dialect {
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

    Words(Settings settings, Options.Real real) {
        real.routes().forEach(r -> routes.put(r, routes.size()));
        real.customers().forEach(c -> customers.put(c, customers.size()));
        set = settings.routes();
        allowed = settings.capabilities();
        marksRepeats = real.marksRepeats();
    }

    /** The number of a route by its name; -1 for one that is not known. */
    int route(String name) {
        return routes.getOrDefault(name, -1);
    }

    // ---- clients

    @Override
    public boolean own(HttpReq http) {
        return http.path().equals(HEALTH);
    }

    @Override
    public Asked asked(HttpReq http) throws BadHttp {
        String path = http.path();
        int end = path.indexOf('/', 1);
        int route = route(end < 0 ? path.substring(1) : path.substring(1, end));
        if (route < 0) {
            throw new BadHttp(404, "no route has this path");
        }
        boolean safe = set.get(route).idempotency() == Idempotency.IDEMPOTENT;
        if (!http.method().equals(safe ? "GET" : "POST")) {
            throw new BadHttp(405, "this path takes " + (safe ? "GET" : "POST"));
        }
        if (safe && http.body().length > 0) {
            throw new BadHttp(400, "a GET has no body");
        }
        String id = name(http, ID);
        if (id == null) {
            throw new BadHttp(400, ID + " is missing");
        }
        String mark = name(http, MARK);
        if (mark == null && set.get(route).idempotency() == Idempotency.DEDUPLICATED) {
            throw new BadHttp(400, MARK + " is missing");
        }
        String of = name(http, CUSTOMER);
        Integer customer = customers.isEmpty() ? Integer.valueOf(0) : of == null ? null : customers.get(of);
        if (customer == null) {
            throw new BadHttp(400, CUSTOMER + " names no customer");
        }
        Headers crossing = Headers.of(ID, id);
        if (mark != null) {
            crossing.add(MARK, mark);
        }
        return new Asked(
                id,
                Crossing.of(new HttpReq(http.method(), http.target(), 1, crossing, http.body()), List.of()),
                false,
                http.last(),
                route,
                customer,
                name(http, KEY),
                left(http, set.get(route).timeoutTicks()),
                0,
                marksRepeats && "1".equals(http.headers().get(REPEAT)));
    }

    private static String name(HttpReq http, String header) throws BadHttp {
        String s = http.headers().get(header);
        if (s != null
                && (s.isEmpty() || s.length() > LONGEST_NAME || http.headers().count(header) > 1)) {
            throw new BadHttp(400, header + " must stand once, with 1 to " + LONGEST_NAME + " characters");
        }
        return s;
    }

    /** Tenths of a millisecond, rounded down: the client must never be answered later than it waits. */
    private static long left(HttpReq http, long most) throws BadHttp {
        String s = http.headers().get(LEFT);
        try {
            double d = s == null ? 0 : Double.parseDouble(s);
            if (d > 0 && !Double.isInfinite(d)) {
                return (long) Math.min(most, Math.floor(d * 10_000 + 1e-6));
            }
        } catch (NumberFormatException e) {
            // told below
        }
        throw new BadHttp(400, LEFT + " must be a number of seconds above 0");
    }

    private static HttpAnswer plain(int status, String text) {
        return new HttpAnswer(
                status, Headers.of("Content-Type", "text/plain"), (text + "\n").getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public HttpAnswer refusal(BadHttp bad, HttpReq http) {
        return plain(bad.status(), bad.getMessage());
    }

    @Override
    public HttpAnswer atDoor(String why) {
        return shed(allowed.retryAfter() ? allowed.maxRetryAfterTicks() : 0, why);
    }

    @Override
    public HttpAnswer shed(long after, String why) {
        HttpAnswer a = plain(503, why);
        if (after > 0) {
            long ms = (after + 9) / 10;
            String rest = Long.toString(1000 + ms % 1000).substring(1);
            a.headers().add("Retry-After", ms / 1000 + "." + rest);
        }
        return a;
    }

    @Override
    public HttpAnswer errored(boolean late, String why) {
        return plain(late ? 504 : 502, why);
    }

    // ---- machines

    @Override
    public Came came(HttpAnswer a) {
        boolean neverRan = (a.status() == 503 || a.status() == 504)
                && "1".equals(a.headers().get(NOT_RUN));
        AttemptOutcome outcome = neverRan
                ? AttemptOutcome.OVERLOADED
                : a.status() == 200 ? AttemptOutcome.COMPLETED : AttemptOutcome.FAILED;
        // the body alone is the client's: what else a machine says is for the front
        Crossing crossing = outcome != AttemptOutcome.COMPLETED
                ? null
                : Crossing.of(new HttpAnswer(200, new Headers(), a.body()), List.of());
        return new Came(outcome, crossing, Loads.read(a.headers().get(LOAD)), a.last());
    }

    /** Noise may come from any machine alike and says nothing of its build; the req has run. */
    @Override
    public AttemptOutcome unreadable() {
        return AttemptOutcome.CONNECTION_LOST;
    }

    @Override
    public void upstream(Lines to, String machine, int tryNo, long left, long within) {
        String rest = Long.toString(10_000 + Math.max(0, within) % 10_000).substring(1);
        to.line("Host", "app.svc").line(LEFT, Math.max(0, within) / 10_000 + "." + rest);
    }

    @Override
    public void completed(Lines to, String id) {}

    @Override
    public byte[] probe(Lines to, String machine) {
        return to.text("GET /load HTTP/1.1\r\n")
                .line("Host", "app.svc")
                .text("\r\n")
                .take();
    }
}

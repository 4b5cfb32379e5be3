package laurelkeel.front;

import java.nio.charset.StandardCharsets;
import java.util.function.IntToLongFunction;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.front.ingress.Asked;
import laurelkeel.front.ingress.RouteTable;
import laurelkeel.front.upstream.Came;
import laurelkeel.wire.BadHttp;
import laurelkeel.wire.Headers;
import laurelkeel.wire.HttpAnswer;
import laurelkeel.wire.HttpReq;
import laurelkeel.wire.Lines;
import laurelkeel.wire.Names;

/** The words of laurelkeel.wire.Names; docs/front.md explains each. */
final class OwnDialect implements Dialect {
    /** Where clients complain of an answer; a path of the front's own. */
    static final String COMPLAINTS = "/.laurelkeel/complaints";

    private static final long RETRY_AT_DOOR = 1000;

    private final RouteTable table;
    private final IntToLongFunction timeouts;
    private final String fullName, probePath;

    OwnDialect(RouteTable table, IntToLongFunction timeouts, String fullName, String probePath) {
        this.table = table;
        this.timeouts = timeouts;
        this.fullName = fullName;
        this.probePath = probePath;
    }

    @Override
    public boolean own(HttpReq http) {
        return http.path().equals(COMPLAINTS) && http.method().equals("POST");
    }

    @Override
    public Asked asked(HttpReq http) throws BadHttp {
        return Asked.read(http, table, timeouts);
    }

    @Override
    public HttpAnswer refusal(BadHttp bad, HttpReq http) {
        HttpAnswer a = plain(bad.status(), bad.getMessage());
        if (bad.status() == 405 && http != null) {
            a.headers().add("Allow", table.allowed(http.path()));
        }
        return a;
    }

    @Override
    public HttpAnswer atDoor(String why) {
        HttpAnswer a = shed(RETRY_AT_DOOR, why);
        a.headers().add(Names.TAKEN, "no");
        return a;
    }

    /** 503 and the word that asking again is harmless. */
    @Override
    public HttpAnswer shed(long after, String why) {
        HttpAnswer a = plain(503, why);
        a.headers().add(Names.ANSWER, "shed").add(Names.RETRY, "harmless");
        if (after > 0) {
            a.headers().add(Names.RETRY_AFTER, Long.toString((after + 9_999) / 10_000));
            a.headers().add(Names.RETRY_AFTER_MS, Long.toString((after + 9) / 10));
        }
        return a;
    }

    /** 502 or 504, which promise nothing of what ran. */
    @Override
    public HttpAnswer errored(boolean late, String why) {
        HttpAnswer a = plain(late ? 504 : 502, why);
        a.headers().add(Names.ANSWER, "errored");
        return a;
    }

    static HttpAnswer plain(int status, String text) {
        return new HttpAnswer(
                status,
                Headers.of("Content-Type", "text/plain; charset=utf-8"),
                (text + "\n").getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public Came came(HttpAnswer answer) {
        return Came.of(answer);
    }

    @Override
    public AttemptOutcome unreadable() {
        return AttemptOutcome.FAILED;
    }

    @Override
    public void upstream(Lines to, String machine, int tryNo, long left, long within) {
        to.line("Host", machine)
                .line(Names.REMAINING, Long.toString(Math.max(0, left / 10)))
                .line(Names.TRY, Integer.toString(tryNo))
                .line(Names.FRONT, fullName);
    }

    @Override
    public void completed(Lines to, String id) {
        to.line(Names.ANSWER, "completed").line(Names.REF, id);
    }

    @Override
    public byte[] probe(Lines to, String machine) {
        return to.text("GET ")
                .text(probePath)
                .text(" HTTP/1.1\r\n")
                .line("Host", machine)
                .text("\r\n")
                .take();
    }
}

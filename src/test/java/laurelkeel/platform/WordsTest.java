package laurelkeel.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.List;
import laurelkeel.api.Action;
import laurelkeel.api.Event;
import laurelkeel.api.Event.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** What clients and machines say, and what a front node makes of it. */
class WordsTest {

    @Test
    void aReqCrossesByteForByteAndItsAnswerComesBack() throws Exception {
        try (Stage p = new Stage(Stage::once)) {
            Socket c = p.client();
            Stage.say(
                    c,
                    "POST /pay/x%20y?q=1 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: 9b1f\r\nX-Account: acme\r\n"
                            + "X-Session-Key: k\r\nX-Time-Left: 0.480\r\nIdempotency-Key: m1\r\nContent-Length: 3\r\n\r\na\0b");
            Socket m = p.machine.call();
            String got = Stage.hear(m);
            assertTrue(got.startsWith("POST /pay/x%20y?q=1 HTTP/1.1\r\n"), got);
            assertTrue(got.contains("X-Correlation-Id: 9b1f\r\n") && got.contains("Idempotency-Key: m1\r\n"), got);
            assertTrue(got.contains("X-Time-Left: 0.4") && got.endsWith("\r\n\r\na\0b"), got);
            Stage.say(m, "HTTP/1.1 100 Continue\r\n\r\n" + Stage.ok("pa\0id"));
            String answer = Stage.hear(c);
            assertTrue(answer.startsWith("HTTP/1.1 200 ") && answer.endsWith("\r\n\r\npa\0id"), answer);
            Event.RequestReceived r = p.event(Event.RequestReceived.class, 1);
            assertEquals(List.of(1, 0, "k"), List.of(r.route(), r.tenant(), r.partitionKey()));
        }
    }

    @Test
    void eachRowOfTheOutcomeTable() throws Exception {
        String[][] rows = {
            {"HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", "ERROR"},
            {"HTTP/1.1 503 F\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", "FULL"},
            {"HTTP/1.1 504 F\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", "FULL"},
            {"HTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\n", "ERROR"},
            {"noise\r\n\r\n", "BROKEN"},
            {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "BROKEN"},
            {"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "BROKEN"},
            {"", "BROKEN"},
            {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", "BROKEN"}
        };
        try (Stage p = new Stage(Stage::once)) {
            Socket c = p.client();
            for (int i = 0; i < rows.length; i++) {
                Stage.say(c, Stage.look("id-" + i, ""));
                Socket m = p.machine.call();
                Stage.hear(m);
                Stage.say(m, rows[i][0]);
                m.close();
                assertEquals(
                        AttemptOutcome.valueOf(rows[i][1]),
                        p.event(Event.AttemptEnded.class, i + 1).outcome(),
                        rows[i][0]);
                assertTrue(Stage.hear(c).startsWith("HTTP/1.1 502 "));
            }
            p.machine.close();
            Stage.say(c, Stage.look("last", ""));
            assertEquals(
                    AttemptOutcome.CONNECT_FAILED,
                    p.event(Event.AttemptEnded.class, rows.length + 1).outcome());
        }
    }

    @Test
    void aShedSaysWhenToComeBackAndAnErrorDoesNot() throws Exception {
        try (Stage p = new Stage((s, e) -> e instanceof Event.RequestReceived r
                ? List.of(
                        r.requestId().endsWith("0")
                                ? new Action.RejectRequest(r.requestId(), 5_000)
                                : new Action.FailRequest(r.requestId()))
                : List.of())) {
            Socket c = p.client();
            Stage.say(c, Stage.look("a", ""));
            String shed = Stage.hear(c);
            assertTrue(shed.startsWith("HTTP/1.1 503 ") && shed.contains("Retry-After: 0.500\r\n"), shed);
            Stage.say(c, Stage.look("b", ""));
            String errored = Stage.hear(c);
            assertTrue(errored.startsWith("HTTP/1.1 502 ") && !errored.contains("Retry-After"), errored);
        }
    }

    @Test
    void whatCannotBeUnderstoodIsRefusedAndNeverSent() throws Exception {
        String sound = Stage.look("x", "");
        String[] bad = {
            sound.replace("/look", "/nowhere"),
            sound.replace("GET", "POST"),
            sound.replace("X-Correlation-Id: x\r\n", ""),
            sound.replace("acme", "nobody"),
            sound.replace("4.5", "soon"),
            sound.replace("4.5", "NaN"),
            sound.replace("4.5", "-1"),
            sound.replace("4.5", "1e999"),
            Stage.look("x", "Content-Length: 2\r\n") + "ab",
            Stage.look("x", "Content-Length: -2\r\n"),
            Stage.look("x", "Content-Length: 60000000\r\n"),
            Stage.look("x", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n" + sound,
            sound.replace("\r\n", "\n"),
            Stage.look("x", "Folded: a\r\n b\r\n"),
            "\0\1\2\r\n\r\n",
            "POST /pay HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: x\r\nX-Account: acme\r\nX-Time-Left: 1\r\n\r\n"
        };
        try (Stage p = new Stage(Stage::once)) {
            for (String b : bad) {
                Socket c = p.client();
                Stage.say(c, b);
                String answer = Stage.hear(c);
                assertTrue(answer.startsWith("HTTP/1.1 4"), b + " got " + answer);
            }
            assertTrue(p.all(Event.RequestReceived.class).isEmpty());
            assertTrue(p.machine.calls.isEmpty());
        }
    }

    @Test
    void anIdThatIsOpenIsNoOtherClientsToo() throws Exception {
        try (Stage p = new Stage(Stage::once)) {
            Socket a = p.client(), b = p.client();
            Stage.say(a, Stage.look("same", ""));
            Socket m = p.machine.call();
            Stage.hear(m);
            Stage.say(b, Stage.look("same", ""));
            assertTrue(Stage.hear(b).startsWith("HTTP/1.1 409 "));
            Stage.say(m, Stage.ok("mine"));
            assertTrue(Stage.hear(a).endsWith("mine"));
            assertEquals(1, p.all(Event.RequestReceived.class).size());
        }
    }

    /** Before, the second of two answers read at once was posted, and met the req that was written next. */
    @Test
    void whatStandsBehindAnAnswerIsNeverTheNextReqs() throws Exception {
        for (String behind : List.of(Stage.ok("first"), "noise", "HTTP/1.1 200")) {
            try (Stage p = new Stage(Stage::once)) {
                Socket c = p.client();
                Stage.say(c, Stage.look("1", ""));
                Socket m = p.machine.call();
                Stage.hear(m);
                Stage.say(m, Stage.ok("first") + behind);
                assertTrue(Stage.hear(c).endsWith("first"));
                Stage.say(c, Stage.look("2", ""));
                Socket other = p.machine.call();
                Stage.hear(other);
                Stage.say(other, Stage.ok("second"));
                assertTrue(Stage.hear(c).endsWith("second"), behind);
                assertTrue(Stage.hear(m).contains("<end>"));
            }
        }
    }

    @Test
    void anAnswerCutAtAnyByteIsNoAnswer() throws Exception {
        String whole = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
        try (Stage p = new Stage(Stage::once)) {
            Socket c = p.client();
            for (int cut = 0; cut <= whole.length(); cut++) {
                Stage.say(c, Stage.look("cut-" + cut, ""));
                Socket m = p.machine.call();
                Stage.hear(m);
                Stage.say(m, whole.substring(0, cut));
                m.close();
                String answer = Stage.hear(c);
                assertEquals(cut == whole.length(), answer.startsWith("HTTP/1.1 200 "), cut + ": " + answer);
                p.event(Event.AttemptEnded.class, cut + 1);
            }
        }
    }

    @Test
    void aTryThatWaitedPastItsMachinesDrainOrALowerCapIsNotSent() throws Exception {
        for (boolean drain : List.of(true, false)) {
            try (Stage p = new Stage(60, 5000, Stage::once)) {
                Socket w = p.watch(Stage.list(2, true, p.entry("active", 2, p.machine)));
                Socket d = p.desk.call();
                Stage.lines(d).readLine();
                Stage.say(d, "OK\r\n* progress 2 1 Progressing 0.5 10\r\n");
                p.event(Event.RolloutUpdate.class, 2);
                // every connection that may be open is taken, so the next one waits
                int most = Node.machineConnections(60);
                for (int i = 0; i < most; i++) {
                    Stage.say(p.client(), Stage.look("r-" + i, ""));
                }
                Socket first = p.machine.call();
                for (int i = 1; i < most; i++) {
                    p.machine.call();
                }
                Stage.hear(first);
                Stage.say(p.client(), Stage.look("late", ""));
                p.event(Event.RequestReceived.class, most + 1);
                if (drain) {
                    Stage.say(w, Stage.chunk(Stage.list(3, false, p.entry("leaving", 2, p.machine)) + "\n"));
                    p.event(Event.EndpointListUpdate.class, 3);
                } else {
                    Stage.say(d, "* progress 2 1 Aborting 0.0 10\r\n");
                    p.event(Event.RolloutUpdate.class, 3);
                }
                Stage.say(first, Stage.ok("x"));
                p.event(Event.AttemptEnded.class, 2);
                assertTrue(
                        p.all(Event.AttemptEnded.class).stream().anyMatch(t -> t.outcome() == AttemptOutcome.NOT_SENT));
                assertEquals(0, first.getInputStream().available());
            }
        }
    }
}

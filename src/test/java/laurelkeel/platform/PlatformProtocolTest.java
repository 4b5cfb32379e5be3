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
class PlatformProtocolTest {

    @Test
    void aReqCrossesByteForByteAndItsAnswerComesBack() throws Exception {
        try (PlatformTestBed p = new PlatformTestBed(PlatformTestBed::once)) {
            Socket c = p.client();
            PlatformTestBed.say(
                    c,
                    "POST /pay/x%20y?q=1 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: 9b1f\r\nX-Account: acme\r\n"
                            + "X-Session-Key: k\r\nX-Time-Left: 0.480\r\nIdempotency-Key: m1\r\nContent-Length: 3\r\n\r\na\0b");
            Socket m = p.machine.nextConnection();
            String got = PlatformTestBed.hear(m);
            assertTrue(got.startsWith("POST /pay/x%20y?q=1 HTTP/1.1\r\n"), got);
            assertTrue(got.contains("X-Correlation-Id: 9b1f\r\n") && got.contains("Idempotency-Key: m1\r\n"), got);
            assertTrue(got.contains("X-Time-Left: 0.4") && got.endsWith("\r\n\r\na\0b"), got);
            PlatformTestBed.say(m, "HTTP/1.1 100 Continue\r\n\r\n" + PlatformTestBed.ok("pa\0id"));
            String answer = PlatformTestBed.hear(c);
            assertTrue(answer.startsWith("HTTP/1.1 200 ") && answer.endsWith("\r\n\r\npa\0id"), answer);
            Event.RequestReceived r = p.event(Event.RequestReceived.class, 1);
            assertEquals(List.of(1, 0, "k"), List.of(r.route(), r.tenant(), r.partitionKey()));
        }
    }

    @Test
    void eachRowOfTheOutcomeTable() throws Exception {
        String[][] rows = {
            {"HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", "FAILED"},
            {"HTTP/1.1 503 F\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", "OVERLOADED"},
            {"HTTP/1.1 504 F\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", "OVERLOADED"},
            {"HTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\n", "FAILED"},
            {"noise\r\n\r\n", "CONNECTION_LOST"},
            {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "CONNECTION_LOST"},
            {"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "CONNECTION_LOST"},
            {"", "CONNECTION_LOST"},
            {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", "CONNECTION_LOST"}
        };
        try (PlatformTestBed p = new PlatformTestBed(PlatformTestBed::once)) {
            Socket c = p.client();
            for (int i = 0; i < rows.length; i++) {
                PlatformTestBed.say(c, PlatformTestBed.look("id-" + i, ""));
                Socket m = p.machine.nextConnection();
                PlatformTestBed.hear(m);
                PlatformTestBed.say(m, rows[i][0]);
                m.close();
                assertEquals(
                        AttemptOutcome.valueOf(rows[i][1]),
                        p.event(Event.AttemptEnded.class, i + 1).outcome(),
                        rows[i][0]);
                assertTrue(PlatformTestBed.hear(c).startsWith("HTTP/1.1 502 "));
            }
            p.machine.close();
            PlatformTestBed.say(c, PlatformTestBed.look("last", ""));
            assertEquals(
                    AttemptOutcome.CONNECT_FAILED,
                    p.event(Event.AttemptEnded.class, rows.length + 1).outcome());
        }
    }

    @Test
    void aShedSaysWhenToComeBackAndAnErrorDoesNot() throws Exception {
        try (PlatformTestBed p = new PlatformTestBed((s, e) -> e instanceof Event.RequestReceived r
                ? List.of(
                        r.requestId().endsWith("0")
                                ? new Action.RejectRequest(r.requestId(), 5_000)
                                : new Action.FailRequest(r.requestId()))
                : List.of())) {
            Socket c = p.client();
            PlatformTestBed.say(c, PlatformTestBed.look("a", ""));
            String shed = PlatformTestBed.hear(c);
            assertTrue(shed.startsWith("HTTP/1.1 503 ") && shed.contains("Retry-After: 0.500\r\n"), shed);
            PlatformTestBed.say(c, PlatformTestBed.look("b", ""));
            String errored = PlatformTestBed.hear(c);
            assertTrue(errored.startsWith("HTTP/1.1 502 ") && !errored.contains("Retry-After"), errored);
        }
    }

    @Test
    void whatCannotBeUnderstoodIsRefusedAndNeverSent() throws Exception {
        String sound = PlatformTestBed.look("x", "");
        String[] bad = {
            sound.replace("/look", "/nowhere"),
            sound.replace("GET", "POST"),
            sound.replace("X-Correlation-Id: x\r\n", ""),
            sound.replace("acme", "nobody"),
            sound.replace("4.5", "soon"),
            sound.replace("4.5", "NaN"),
            sound.replace("4.5", "-1"),
            sound.replace("4.5", "1e999"),
            PlatformTestBed.look("x", "Content-Length: 2\r\n") + "ab",
            PlatformTestBed.look("x", "Content-Length: -2\r\n"),
            PlatformTestBed.look("x", "Content-Length: 60000000\r\n"),
            PlatformTestBed.look("x", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n" + sound,
            sound.replace("\r\n", "\n"),
            PlatformTestBed.look("x", "Folded: a\r\n b\r\n"),
            "\0\1\2\r\n\r\n",
            "POST /pay HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: x\r\nX-Account: acme\r\nX-Time-Left: 1\r\n\r\n"
        };
        try (PlatformTestBed p = new PlatformTestBed(PlatformTestBed::once)) {
            for (String b : bad) {
                Socket c = p.client();
                PlatformTestBed.say(c, b);
                String answer = PlatformTestBed.hear(c);
                assertTrue(answer.startsWith("HTTP/1.1 4"), b + " got " + answer);
            }
            assertTrue(p.all(Event.RequestReceived.class).isEmpty());
            assertTrue(p.machine.calls.isEmpty());
        }
    }

    @Test
    void anIdThatIsOpenIsNoOtherClientsToo() throws Exception {
        try (PlatformTestBed p = new PlatformTestBed(PlatformTestBed::once)) {
            Socket a = p.client(), b = p.client();
            PlatformTestBed.say(a, PlatformTestBed.look("same", ""));
            Socket m = p.machine.nextConnection();
            PlatformTestBed.hear(m);
            PlatformTestBed.say(b, PlatformTestBed.look("same", ""));
            assertTrue(PlatformTestBed.hear(b).startsWith("HTTP/1.1 409 "));
            PlatformTestBed.say(m, PlatformTestBed.ok("mine"));
            assertTrue(PlatformTestBed.hear(a).endsWith("mine"));
            assertEquals(1, p.all(Event.RequestReceived.class).size());
        }
    }

    /** Before, the second of two answers read at once was posted, and met the req that was written next. */
    @Test
    void whatStandsBehindAnAnswerIsNeverTheNextReqs() throws Exception {
        for (String behind : List.of(PlatformTestBed.ok("first"), "noise", "HTTP/1.1 200")) {
            try (PlatformTestBed p = new PlatformTestBed(PlatformTestBed::once)) {
                Socket c = p.client();
                PlatformTestBed.say(c, PlatformTestBed.look("1", ""));
                Socket m = p.machine.nextConnection();
                PlatformTestBed.hear(m);
                PlatformTestBed.say(m, PlatformTestBed.ok("first") + behind);
                assertTrue(PlatformTestBed.hear(c).endsWith("first"));
                PlatformTestBed.say(c, PlatformTestBed.look("2", ""));
                Socket other = p.machine.nextConnection();
                PlatformTestBed.hear(other);
                PlatformTestBed.say(other, PlatformTestBed.ok("second"));
                assertTrue(PlatformTestBed.hear(c).endsWith("second"), behind);
                assertTrue(PlatformTestBed.hear(m).contains("<end>"));
            }
        }
    }

    @Test
    void anAnswerCutAtAnyByteIsNoAnswer() throws Exception {
        String whole = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
        try (PlatformTestBed p = new PlatformTestBed(PlatformTestBed::once)) {
            Socket c = p.client();
            for (int cut = 0; cut <= whole.length(); cut++) {
                PlatformTestBed.say(c, PlatformTestBed.look("cut-" + cut, ""));
                Socket m = p.machine.nextConnection();
                PlatformTestBed.hear(m);
                PlatformTestBed.say(m, whole.substring(0, cut));
                m.close();
                String answer = PlatformTestBed.hear(c);
                assertEquals(cut == whole.length(), answer.startsWith("HTTP/1.1 200 "), cut + ": " + answer);
                p.event(Event.AttemptEnded.class, cut + 1);
            }
        }
    }

    @Test
    void aTryThatWaitedPastItsMachinesDrainOrALowerCapIsNotSent() throws Exception {
        for (boolean drain : List.of(true, false)) {
            try (PlatformTestBed p = new PlatformTestBed(60, 5000, PlatformTestBed::once)) {
                Socket w = p.watch(PlatformTestBed.list(2, true, p.entry("active", 2, p.machine)));
                Socket d = p.desk.nextConnection();
                PlatformTestBed.lines(d).readLine();
                PlatformTestBed.say(d, "OK\r\n* progress 2 1 Progressing 0.5 10\r\n");
                p.event(Event.RolloutUpdate.class, 2);
                // every connection that may be open is taken, so the next one waits
                int most = SocketBudget.of(60).endpointConnections();
                for (int i = 0; i < most; i++) {
                    PlatformTestBed.say(p.client(), PlatformTestBed.look("r-" + i, ""));
                }
                Socket first = p.machine.nextConnection();
                for (int i = 1; i < most; i++) {
                    p.machine.nextConnection();
                }
                PlatformTestBed.hear(first);
                PlatformTestBed.say(p.client(), PlatformTestBed.look("late", ""));
                p.event(Event.RequestReceived.class, most + 1);
                if (drain) {
                    PlatformTestBed.say(
                            w,
                            PlatformTestBed.chunk(
                                    PlatformTestBed.list(3, false, p.entry("leaving", 2, p.machine)) + "\n"));
                    p.event(Event.EndpointListUpdate.class, 3);
                } else {
                    PlatformTestBed.say(d, "* progress 2 1 Aborting 0.0 10\r\n");
                    p.event(Event.RolloutUpdate.class, 3);
                }
                PlatformTestBed.say(first, PlatformTestBed.ok("x"));
                p.event(Event.AttemptEnded.class, 2);
                assertTrue(
                        p.all(Event.AttemptEnded.class).stream().anyMatch(t -> t.outcome() == AttemptOutcome.NOT_SENT));
                assertEquals(0, first.getInputStream().available());
            }
        }
    }
}

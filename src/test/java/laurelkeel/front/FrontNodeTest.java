package laurelkeel.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import laurelkeel.api.Action;
import laurelkeel.api.Event;
import laurelkeel.api.Event.AttemptOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** One front against peers that do what they should not. */
class FrontNodeTest {
    private static final String OK =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nLaurelkeel-Load: concurrent=3, x=y\r\n\r\nhi";

    @TempDir
    Path folder;

    private FrontTestPeers once() throws IOException {
        return new FrontTestPeers(folder, "", FrontTestPeers::once);
    }

    /** What the decider hears of a try to which the machine does that. */
    private AttemptOutcome outcome(String said, boolean reset) throws Exception {
        try (FrontTestPeers p = once();
                Socket c = p.client()) {
            FrontTestPeers.say(c, FrontTestPeers.look(""));
            Socket m = p.call();
            FrontTestPeers.hear(m);
            FrontTestPeers.say(m, said);
            if (reset) {
                m.setSoLinger(true, 0);
            }
            if (reset || said.isEmpty()) {
                m.close();
            }
            Event.AttemptEnded t = p.event(Event.AttemptEnded.class);
            assertEquals(t.outcome() == AttemptOutcome.COMPLETED, t.requestEnded());
            String answer = FrontTestPeers.hear(c);
            assertTrue(
                    answer.contains(t.requestEnded() ? "Laurelkeel-Answer: completed" : "Laurelkeel-Answer: errored"),
                    answer);
            assertFalse(answer.contains("harmless"), answer);
            return t.outcome();
        }
    }

    @Test
    void outcomesAreProvedNotGuessed() throws Exception {
        assertEquals(AttemptOutcome.COMPLETED, outcome(OK, false));
        assertEquals(AttemptOutcome.COMPLETED, outcome("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", false));
        assertEquals(AttemptOutcome.FAILED, outcome("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", false));
        assertEquals(AttemptOutcome.FAILED, outcome("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", false));
        assertEquals(
                AttemptOutcome.OVERLOADED,
                outcome("HTTP/1.1 503 No\r\nLaurelkeel-Ran: no\r\nContent-Length: 0\r\n\r\n", false));
        assertEquals(
                AttemptOutcome.FAILED,
                outcome("HTTP/1.1 500 No\r\nLaurelkeel-Ran: no\r\nContent-Length: 0\r\n\r\n", false));
        assertEquals(AttemptOutcome.FAILED, outcome("what is this\r\n", false));
        assertEquals(AttemptOutcome.FAILED, outcome("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", false));
        assertEquals(AttemptOutcome.CONNECTION_LOST, outcome("", false));
        assertEquals(AttemptOutcome.CONNECTION_LOST, outcome("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", true));
    }

    @Test
    void aRefusedConnectionProvesThatNothingRan() throws Exception {
        try (FrontTestPeers p = once();
                Socket c = p.client()) {
            p.machine.close();
            FrontTestPeers.say(c, FrontTestPeers.look(""));
            assertEquals(
                    AttemptOutcome.CONNECT_FAILED,
                    p.event(Event.AttemptEnded.class).outcome());
            FrontTestPeers.hear(c);
        }
    }

    @Test
    void aReusedConnectionThatDiesUnderAReqMayHaveRunIt() throws Exception {
        try (FrontTestPeers p = once();
                Socket c = p.client()) {
            FrontTestPeers.say(c, FrontTestPeers.look(""));
            Socket m = p.call();
            FrontTestPeers.hear(m);
            FrontTestPeers.say(m, OK);
            assertTrue(FrontTestPeers.hear(c).endsWith("hi"));
            FrontTestPeers.say(c, FrontTestPeers.look(""));
            FrontTestPeers.hear(m);
            m.close();
            FrontTestRig.await(
                    "two ends",
                    () -> p.events.stream()
                                    .filter(e -> e instanceof Event.AttemptEnded)
                                    .count()
                            == 2);
            Event.AttemptEnded t = (Event.AttemptEnded) p.events.stream()
                    .filter(e -> e instanceof Event.AttemptEnded)
                    .toList()
                    .get(1);
            assertEquals(AttemptOutcome.CONNECTION_LOST, t.outcome());
            FrontTestPeers.hear(c);
            // the next one gets a new connection
            FrontTestPeers.say(c, FrontTestPeers.look(""));
            Socket again = p.call();
            FrontTestPeers.hear(again);
            FrontTestPeers.say(again, OK);
            assertTrue(FrontTestPeers.hear(c).endsWith("hi"));
        }
    }

    @Test
    void aTryPastItsLimitEndsAndItsLateAnswerReachesNobody() throws Exception {
        try (FrontTestPeers p = new FrontTestPeers(
                        folder,
                        "",
                        (peers, e) -> e instanceof Event.RequestReceived r
                                ? List.of(new Action.SendAttempt(r.requestId(), peers.machineId(), 500))
                                : e instanceof Event.AttemptEnded t
                                        ? List.of(new Action.RejectRequest(t.requestId(), 1230))
                                        : List.of());
                Socket c = p.client()) {
            FrontTestPeers.say(c, FrontTestPeers.look(""));
            Socket m = p.call();
            FrontTestPeers.hear(m);
            assertEquals(
                    AttemptOutcome.TIMED_OUT, p.event(Event.AttemptEnded.class).outcome());
            String shed = FrontTestPeers.hear(c);
            for (String s : List.of(
                    "HTTP/1.1 503",
                    "Laurelkeel-Answer: shed",
                    "Laurelkeel-Retry: harmless",
                    "Retry-After: 1\r",
                    "Laurelkeel-Retry-After-Ms: 123\r")) {
                assertTrue(shed.contains(s), s + " in " + shed);
            }
            try {
                FrontTestPeers.say(m, OK);
            } catch (SocketException e) {
                // closed from the front's side, as it should be
            }
            FrontTestPeers.say(c, FrontTestPeers.look(""));
            FrontTestPeers.hear(p.call());
            assertTrue(FrontTestPeers.hear(c).contains("shed"), "a late answer was given to another req");
        }
    }

    @Test
    void aClientThatLeavesIsToldOfAndItsTryIsStopped() throws Exception {
        try (FrontTestPeers p = new FrontTestPeers(
                folder,
                "",
                (peers, e) -> e instanceof Event.ClientDisconnected l
                        ? List.of(new Action.CancelAttempt(l.requestId(), 0))
                        : e instanceof Event.RequestReceived r
                                ? List.of(new Action.SendAttempt(r.requestId(), peers.machineId(), 0))
                                : List.of())) {
            Socket c = p.client();
            FrontTestPeers.say(c, FrontTestPeers.look(""));
            Socket m = p.call();
            FrontTestPeers.hear(m);
            c.close();
            p.event(Event.ClientDisconnected.class);
            Event.AttemptEnded t = p.event(Event.AttemptEnded.class);
            assertEquals(AttemptOutcome.CANCELLED, t.outcome());
            assertTrue(t.requestEnded());
            m.setSoTimeout(10_000);
            assertEquals(-1, m.getInputStream().read(), "the machine is not told");
        }
    }

    @Test
    void aDeciderThatDoesNothingIsAnsweredForInTime() throws Exception {
        try (FrontTestPeers p = new FrontTestPeers(folder, "", (peers, e) -> List.of());
                Socket c = p.client()) {
            FrontTestPeers.say(c, FrontTestPeers.look("Laurelkeel-Remaining-Ms: 200\r\n"));
            String answer = FrontTestPeers.hear(c);
            assertTrue(answer.startsWith("HTTP/1.1 504") && answer.contains("errored"), answer);
            p.event(Event.ClientDisconnected.class);
        }
    }

    @Test
    void twoAnswersOfTheDeciderReachTheClientAsOne() throws Exception {
        try (FrontTestPeers p = new FrontTestPeers(
                        folder,
                        "",
                        (peers, e) -> e instanceof Event.RequestReceived r
                                ? List.of(
                                        new Action.SendAttempt(r.requestId(), peers.machineId(), 0),
                                        new Action.FailRequest(r.requestId()),
                                        new Action.RejectRequest(r.requestId(), 0),
                                        new Action.FailRequest("nobody"),
                                        new Action.SendAttempt(r.requestId(), peers.machineId(), 0))
                                : List.of());
                Socket c = p.client()) {
            FrontTestPeers.say(c, FrontTestPeers.look(""));
            assertTrue(FrontTestPeers.hear(c).startsWith("HTTP/1.1 502"));
            assertEquals(
                    AttemptOutcome.NOT_SENT, p.event(Event.AttemptEnded.class).outcome());
            FrontTestPeers.say(c, "GET /nowhere HTTP/1.1\r\nHost: f\r\n\r\n");
            assertTrue(FrontTestPeers.hear(c).startsWith("HTTP/1.1 404"), "bytes of a second answer came first");
        }
    }

    @Test
    void aDeciderThatFailsEndsTheFrontWithAllHeldErrored() throws Exception {
        FrontTestPeers p = new FrontTestPeers(folder, "", (peers, e) -> {
            if (e instanceof Event.RequestReceived r && r.partitionKey() != null) {
                throw new IllegalStateException("made to fail");
            }
            return FrontTestPeers.once(peers, e);
        });
        Socket first = p.client();
        FrontTestPeers.say(first, FrontTestPeers.look(""));
        FrontTestPeers.hear(p.call());
        Socket second = p.client();
        FrontTestPeers.say(second, FrontTestPeers.look("Laurelkeel-Key: k\r\n"));
        assertTrue(FrontTestPeers.hear(first).startsWith("HTTP/1.1 502"));
        assertTrue(FrontTestPeers.hear(second).startsWith("HTTP/1.1 502"));
        assertEquals("made to fail", p.front.termination().get().getMessage());
        p.close();
    }

    @Test
    void pipelinedReqsAreAnsweredInTheirOrder() throws Exception {
        try (FrontTestPeers p = once();
                Socket c = p.client()) {
            FrontTestPeers.say(
                    c,
                    "POST /pay/1 HTTP/1.1\r\nHost: f\r\nIdempotency-Key: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + "3\r\nabc\r\n0\r\n\r\n" + FrontTestPeers.look("X: 2\r\n")
                            + "GET /pay HTTP/1.1\r\nHost: f\r\n\r\n"
                            + FrontTestPeers.look("X: 4\r\n") + "rubbish\r\n");
            Socket m = p.call();
            String first = FrontTestPeers.hear(m);
            assertTrue(first.endsWith("abc") && first.contains("Content-Length: 3"), first);
            assertFalse(first.toLowerCase(Locale.ROOT).contains("transfer-encoding"), first);
            FrontTestPeers.say(m, OK);
            assertTrue(FrontTestPeers.hear(c).endsWith("hi"));
            assertTrue(FrontTestPeers.hear(m).contains("X: 2"));
            FrontTestPeers.say(m, "HTTP/1.1 201 Made\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nyo\r\n0\r\n\r\n");
            assertTrue(FrontTestPeers.hear(c).endsWith("yo"));
            String no = FrontTestPeers.hear(c);
            assertTrue(no.startsWith("HTTP/1.1 405") && no.contains("Allow: POST"), no);
            assertTrue(FrontTestPeers.hear(m).contains("X: 4"));
            FrontTestPeers.say(m, OK);
            assertTrue(FrontTestPeers.hear(c).endsWith("hi"));
            assertTrue(FrontTestPeers.hear(c).startsWith("HTTP/1.1 400"));
            assertEquals(-1, c.getInputStream().read(), "a broken connection goes on");
        }
    }

    @Test
    void badNamesGetClearAnswersAndTheConnectionGoesOn() throws Exception {
        try (FrontTestPeers p = new FrontTestPeers(folder, "[customer mill]\nquota = 5\n", FrontTestPeers::once);
                Socket c = p.client()) {
            String mill = "Laurelkeel-Customer: mill\r\n";
            for (String[] x : new String[][] {
                {FrontTestPeers.look(""), "Laurelkeel-Customer"},
                {FrontTestPeers.look("Laurelkeel-Customer: nobody\r\n"), "Laurelkeel-Customer"},
                {FrontTestPeers.look(mill + "Laurelkeel-Remaining-Ms: soon\r\n"), "number of milliseconds"},
                {FrontTestPeers.look(mill + "Laurelkeel-Key: \r\n"), "1 to 256"},
                {"POST /pay HTTP/1.1\r\nHost: f\r\n" + mill + "Content-Length: 0\r\n\r\n", "Idempotency-Key"}
            }) {
                FrontTestPeers.say(c, x[0]);
                String a = FrontTestPeers.hear(c);
                assertTrue(a.startsWith("HTTP/1.1 400") && a.contains(x[1]), a);
            }
            assertTrue(p.events.stream().noneMatch(e -> e instanceof Event.RequestReceived));
        }
    }

    @Test
    void aFullFrontShedsAtItsDoor() throws Exception {
        try (FrontTestPeers p =
                new FrontTestPeers(folder, "[clients]\nopen-reqs = 2\nconnections = 4\n", (peers, e) -> List.of())) {
            List<Socket> held = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                Socket c = p.client();
                FrontTestPeers.say(c, FrontTestPeers.look(""));
                held.add(c);
            }
            FrontTestRig.await(
                    "two held",
                    () -> p.events.stream()
                                    .filter(e -> e instanceof Event.RequestReceived)
                                    .count()
                            == 2);
            Socket third = p.client();
            FrontTestPeers.say(third, FrontTestPeers.look(""));
            String a = FrontTestPeers.hear(third);
            assertTrue(a.contains("harmless") && a.contains("Laurelkeel-Taken: no") && a.contains("full"), a);
            // answered, so surely counted before the next one
            Socket fourth = p.client();
            FrontTestPeers.say(fourth, FrontTestPeers.look(""));
            FrontTestPeers.hear(fourth);
            assertTrue(FrontTestPeers.hear(p.client()).contains("every connection is in use"));
        }
    }

    @Test
    void anAnswerLargerThanAnyBufferReachesASlowClientWhole() throws Exception {
        try (FrontTestPeers p = once();
                Socket c = p.client()) {
            c.setReceiveBufferSize(16 << 10);
            FrontTestPeers.say(c, FrontTestPeers.look(""));
            Socket m = p.call();
            FrontTestPeers.hear(m);
            String big = "x".repeat(400 << 10);
            FrontTestPeers.say(m, "HTTP/1.1 200 OK\r\nContent-Length: " + big.length() + "\r\n\r\n" + big);
            p.event(Event.AttemptEnded.class);
            assertTrue(FrontTestPeers.hear(c).endsWith("\r\n\r\n" + big));
        }
    }

    @Test
    void probesIdleClosesAndComplaintsAreCarried() throws Exception {
        String[] ref = new String[1];
        try (FrontTestPeers p = new FrontTestPeers(folder, "", (peers, e) -> {
                    List<Action> out = new ArrayList<>(FrontTestPeers.once(peers, e));
                    if (e instanceof Event.AttemptEnded t) {
                        out.add(new Action.CloseIdleConnections(t.endpointId()));
                        out.add(new Action.WriteLog("closing idle ones"));
                    } else if (e instanceof Event.ComplaintReceived) {
                        out.add(new Action.SendHealthCheck(peers.machineId()));
                    }
                    return out;
                });
                Socket c = p.client()) {
            FrontTestPeers.say(c, FrontTestPeers.look(""));
            Socket m = p.call();
            FrontTestPeers.hear(m);
            FrontTestPeers.say(m, OK);
            String a = FrontTestPeers.hear(c);
            ref[0] = a.replaceAll("(?s).*Laurelkeel-Ref: (\\S+).*", "$1");
            assertEquals(3.0, p.event(Event.AttemptEnded.class).loadReport().concurrentRequests());
            assertFalse(a.contains("Laurelkeel-Load"), "a machine's load is not the client's matter");
            assertEquals(-1, m.getInputStream().read(), "the idle connection stays");
            String complaint = "POST /.laurelkeel/complaints HTTP/1.1\r\nHost: f\r\nContent-Length: " + ref[0].length()
                    + "\r\n\r\n" + ref[0];
            FrontTestPeers.say(c, complaint + complaint);
            assertTrue(FrontTestPeers.hear(c).startsWith("HTTP/1.1 202"));
            assertTrue(FrontTestPeers.hear(c).startsWith("HTTP/1.1 404"), "one answer is complained of once");
            assertEquals(p.machineId(), p.event(Event.ComplaintReceived.class).endpointId());
            Socket probe = p.call();
            assertTrue(FrontTestPeers.hear(probe).startsWith("GET /health"));
            FrontTestPeers.say(probe, OK);
            Event.HealthCheckEnded probed = p.event(Event.HealthCheckEnded.class);
            assertEquals(AttemptOutcome.COMPLETED, probed.outcome());
            assertEquals(3.0, probed.loadReport().concurrentRequests());
        }
    }

    @Test
    void manyConnectionsAtOnceAreTakenAndGivenBack() throws Exception {
        try (FrontTestPeers p = new FrontTestPeers(
                folder,
                "",
                (peers, e) -> e instanceof Event.RequestReceived r
                        ? List.of(new Action.RejectRequest(r.requestId(), 0))
                        : List.of())) {
            List<Socket> all = new ArrayList<>();
            for (int i = 0; i < 5000; i++) {
                all.add(p.client());
            }
            for (Socket s : all) {
                FrontTestPeers.say(s, FrontTestPeers.look(""));
            }
            for (Socket s : all) {
                assertTrue(FrontTestPeers.hear(s).contains("shed"));
                s.close();
            }
            assertNotNull(p.event(Event.RequestReceived.class));
        }
    }
}

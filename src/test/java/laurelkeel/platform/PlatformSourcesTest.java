package laurelkeel.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.Socket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import laurelkeel.api.Action;
import laurelkeel.api.Action.Verdict;
import laurelkeel.api.Event;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.options.OptionsParser;
import org.junit.jupiter.api.Test;

/** Discovery, the release desk, the configuration and the signals' work. */
class PlatformSourcesTest {

    @Test
    void theListComesInAnyPiecesAndAWatchThatEndsIsResumed() throws Exception {
        try (PlatformTestBed p = new PlatformTestBed(PlatformTestBed::nothing)) {
            Event.EndpointListUpdate known = p.event(Event.EndpointListUpdate.class, 1);
            assertEquals(EndpointListKind.CACHED, known.kind());
            assertEquals(
                    new Event.EndpointEntry("s-1", 1, 1, 3, 1, 1.5, EndpointState.ACTIVE, 0),
                    known.entries().get(0));
            Socket w = p.discovery.nextConnection();
            assertTrue(PlatformTestBed.hear(w).startsWith("GET /v1/servers?watch=1&after=1 HTTP/1.1\r\n"));
            String all = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + PlatformTestBed.chunk(PlatformTestBed.list(3, false, p.entry("leaving", 1, p.machine)) + "\n\n")
                    + PlatformTestBed.chunk(PlatformTestBed.list(2, false, p.entry("active", 1, p.machine)) + "\n");
            // read by itself before the rest comes: the first line of the head is not whole then
            PlatformTestBed.say(w, all.substring(0, 1));
            Socket h = p.client();
            for (int i = 0; i < 3; i++) {
                health(h);
            }
            for (char c : all.substring(1).toCharArray()) {
                PlatformTestBed.say(w, String.valueOf(c));
            }
            assertEquals(
                    EndpointState.DRAINING,
                    p.event(Event.EndpointListUpdate.class, 2).entries().get(0).state());
            w.close();
            w = p.discovery.nextConnection();
            assertTrue(PlatformTestBed.hear(w).startsWith("GET /v1/servers?watch=1&after=3 HTTP/1.1\r\n"));
            PlatformTestBed.say(
                    w,
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + PlatformTestBed.chunk(PlatformTestBed.list(3, true) + "\n"));
            assertEquals(
                    EndpointListKind.SNAPSHOT,
                    p.event(Event.EndpointListUpdate.class, 3).kind());
            PlatformTestBed.say(w, PlatformTestBed.chunk("{\"noise\":1}\n"));
            PlatformTestBed.hear(p.discovery.nextConnection());
            assertEquals(3, p.all(Event.EndpointListUpdate.class).size());
        }
    }

    @Test
    void anIdThatReturnsWithAnotherBuildGetsNoOldConnection() throws Exception {
        try (PlatformTestBed p = new PlatformTestBed(PlatformTestBed::once)) {
            Socket w = p.watch(PlatformTestBed.list(2, false, p.entry("active", 1, p.machine)));
            p.event(Event.EndpointListUpdate.class, 2);
            Socket c = p.client();
            PlatformTestBed.say(c, PlatformTestBed.look("1", ""));
            Socket m = p.machine.nextConnection();
            PlatformTestBed.hear(m);
            PlatformTestBed.say(m, PlatformTestBed.ok("old"));
            PlatformTestBed.hear(c);
            PlatformTestBed.say(
                    w, PlatformTestBed.chunk(PlatformTestBed.list(3, false, p.entry("active", 2, p.machine)) + "\n"));
            p.event(Event.EndpointListUpdate.class, 3);
            assertTrue(PlatformTestBed.hear(m).contains("<end>"));
            PlatformTestBed.say(c, PlatformTestBed.look("2", ""));
            PlatformTestBed.hear(p.machine.nextConnection());
        }
    }

    @Test
    void theDesksNewsAndWhatCannotBeRead() throws Exception {
        try (PlatformTestBed p = new PlatformTestBed(PlatformTestBed::nothing)) {
            assertEquals(
                    RolloutPhase.RELEASED, p.event(Event.RolloutUpdate.class, 1).phase());
            Socket d = p.desk.nextConnection();
            assertEquals("SUB", PlatformTestBed.lines(d).readLine());
            PlatformTestBed.say(d, "OK\r\n*\r\n* metrics 42 pay 57 2 18.5 900\r\n* progress 42 1 Progr");
            Event.BuildStatistics counts = p.event(Event.BuildStatistics.class, 1);
            assertEquals(
                    List.of(42, 1, 57L, 2L, 185L),
                    List.of(
                            counts.build(),
                            counts.route(),
                            counts.attempts(),
                            counts.errors(),
                            counts.meanDurationTicks()));
            PlatformTestBed.say(d, "essing 0.28 310\r\n");
            Event.RolloutUpdate n = p.event(Event.RolloutUpdate.class, 2);
            assertEquals(
                    List.of(42, 1, 0.28, RolloutPhase.CANARY),
                    List.of(n.build(), n.stage(), n.exposureCap(), n.phase()));
            for (String spoilt : List.of(
                    "* progress 42 1 Progressing 0.2",
                    "* progress 42 x Progressing 0.28 1",
                    "* progress 42 1 Nothing 0.28 1",
                    "\1\2",
                    "* progress 42 1 Progressing 7 1")) {
                PlatformTestBed.say(d, spoilt + "\r\n");
                d = p.desk.nextConnection();
                PlatformTestBed.lines(d).readLine();
            }
            PlatformTestBed.say(d, "OK\r\n* progress 42 2 Progressing 0.5 1\r\n");
            assertEquals(2, p.event(Event.RolloutUpdate.class, 3).stage());
            assertEquals(3, p.all(Event.RolloutUpdate.class).size());
        }
    }

    /** Votes 42 at the first req, 43 at the second, and so on. */
    private static List<Action> voter(PlatformTestBed p, Event e) {
        return e instanceof Event.RequestReceived r
                ? List.of(
                        new Action.CastVote(
                                41 + p.all(Event.RequestReceived.class).size(), 1, Verdict.ROLL_BACK),
                        new Action.RejectRequest(r.requestId(), 0))
                : List.of();
    }

    private static Event.RolloutUpdate answered(PlatformTestBed p, int count) {
        PlatformTestBed.await(
                count + " votes answered",
                () -> p.all(Event.RolloutUpdate.class).stream()
                                .filter(Event.RolloutUpdate::answersVote)
                                .count()
                        >= count);
        return p.all(Event.RolloutUpdate.class).stream()
                .filter(Event.RolloutUpdate::answersVote)
                .toList()
                .get(count - 1);
    }

    @Test
    void aVotesLateAnswerIsNotTheNextOnes() throws Exception {
        try (PlatformTestBed p = new PlatformTestBed(1024, 300, PlatformSourcesTest::voter)) {
            p.desk.nextConnection();
            Socket c = p.client();
            PlatformTestBed.say(c, PlatformTestBed.look("1", ""));
            Socket v = p.desk.nextConnection();
            assertEquals("SAY 42 1 reject", PlatformTestBed.lines(v).readLine());
            assertEquals(ControlStatus.TIMED_OUT, answered(p, 1).status());
            PlatformTestBed.hear(c);
            PlatformTestBed.say(c, PlatformTestBed.look("2", ""));
            Socket next = p.desk.nextConnection();
            assertEquals("SAY 43 1 reject", PlatformTestBed.lines(next).readLine());
            PlatformTestBed.say(next, "ERR too_many_calls\r\n");
            assertEquals(ControlStatus.RATE_LIMITED, answered(p, 2).status());
            PlatformTestBed.hear(c);
            PlatformTestBed.say(c, PlatformTestBed.look("3", ""));
            assertEquals("SAY 44 1 reject", PlatformTestBed.lines(next).readLine());
            PlatformTestBed.say(next, "OK 44 1 Aborting 0.0 5\r\n");
            assertEquals(RolloutPhase.ROLLING_BACK, answered(p, 3).phase());
            PlatformTestBed.hear(c);
            PlatformTestBed.say(c, PlatformTestBed.look("4", ""));
            PlatformTestBed.lines(next).readLine();
            PlatformTestBed.say(next, "OK 45 no\r\n");
            assertEquals(ControlStatus.TIMED_OUT, answered(p, 4).status());
            assertEquals(-1, next.getInputStream().read());
        }
    }

    @Test
    void aNewConfigurationMovesTheSourcesAndLosesNoReq() throws Exception {
        try (PlatformTestBed p = new PlatformTestBed(PlatformTestBed::once);
                PlatformTestBed.FakeServer disco = new PlatformTestBed.FakeServer();
                PlatformTestBed.FakeServer desk = new PlatformTestBed.FakeServer()) {
            Socket old = p.watch(PlatformTestBed.list(2, false, p.entry("active", 1, p.machine)));
            p.event(Event.EndpointListUpdate.class, 2);
            Socket c = p.client();
            PlatformTestBed.say(c, PlatformTestBed.look("1", ""));
            Socket m = p.machine.nextConnection();
            PlatformTestBed.hear(m);
            p.node.reconfigure(p.config(disco, desk));
            Socket w = disco.nextConnection();
            assertTrue(PlatformTestBed.hear(w).contains("after=2 "));
            assertEquals("SUB", PlatformTestBed.lines(desk.nextConnection()).readLine());
            // until the new one has spoken the old one is heard
            PlatformTestBed.say(
                    old, PlatformTestBed.chunk(PlatformTestBed.list(3, false, p.entry("active", 1, p.machine)) + "\n"));
            p.event(Event.EndpointListUpdate.class, 3);
            PlatformTestBed.say(
                    w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + PlatformTestBed.chunk("\n"));
            assertTrue(PlatformTestBed.hear(old).contains("<end>"));
            PlatformTestBed.say(m, PlatformTestBed.ok("held"));
            assertTrue(PlatformTestBed.hear(c).endsWith("held"));
        }
    }

    @Test
    void aVoteAfterTheDeskHasMovedGoesToItsNewAddress() throws Exception {
        try (PlatformTestBed p = new PlatformTestBed(PlatformSourcesTest::voter);
                PlatformTestBed.FakeServer next = new PlatformTestBed.FakeServer()) {
            p.desk.nextConnection();
            Socket c = p.client();
            PlatformTestBed.say(c, PlatformTestBed.look("1", ""));
            Socket old = p.desk.nextConnection();
            assertEquals("SAY 42 1 reject", PlatformTestBed.lines(old).readLine());
            PlatformTestBed.hear(c);
            p.node.reconfigure(p.config(p.discovery, next));
            assertEquals("SUB", PlatformTestBed.lines(next.nextConnection()).readLine());
            // its answer comes from the old address all the same
            PlatformTestBed.say(old, "OK 42 1 Progressing 0.28 1\r\n");
            assertEquals(ControlStatus.OK, answered(p, 1).status());
            PlatformTestBed.say(c, PlatformTestBed.look("2", ""));
            assertEquals(
                    "SAY 43 1 reject",
                    PlatformTestBed.lines(next.nextConnection()).readLine());
        }
    }

    /** The old address may go on without closing: it was looked at as heard, and the new one was not dialled again. */
    @Test
    void aNewAddressThatIsNotUpYetIsDialledAgainWhileTheOldOneStillSpeaks() throws Exception {
        try (PlatformTestBed p = new PlatformTestBed(PlatformTestBed::once);
                PlatformTestBed.FakeServer disco = new PlatformTestBed.FakeServer();
                PlatformTestBed.FakeServer desk = new PlatformTestBed.FakeServer()) {
            Socket old = p.watch(PlatformTestBed.list(2, false, p.entry("active", 1, p.machine)));
            p.event(Event.EndpointListUpdate.class, 2);
            int port = disco.at.getLocalPort();
            NodeConfiguration next = p.config(disco, desk);
            disco.close();
            p.node.reconfigure(next);
            PlatformTestBed.lines(desk.nextConnection()).readLine();
            try (var late = new java.net.ServerSocket(port, 5, java.net.InetAddress.getByName("127.0.0.1"))) {
                late.setSoTimeout(2_000);
                Socket w = late.accept();
                assertTrue(PlatformTestBed.hear(w).contains("after=2 "));
                PlatformTestBed.say(
                        old,
                        PlatformTestBed.chunk(PlatformTestBed.list(3, false, p.entry("active", 1, p.machine)) + "\n"));
                p.event(Event.EndpointListUpdate.class, 3);
            }
        }
    }

    @Test
    void aNodeToldToStopTakesWhatStillComesAndAnswersAll() throws Exception {
        try (PlatformTestBed p = new PlatformTestBed(PlatformTestBed::once)) {
            p.watch(PlatformTestBed.list(2, true, p.entry("active", 1, p.machine)));
            Socket d = p.desk.nextConnection();
            PlatformTestBed.say(d, "OK\r\n");
            Socket h = p.client();
            PlatformTestBed.await("ready", () -> health(h).startsWith("HTTP/1.1 200 "));
            Socket a = p.client(), idle = p.client();
            PlatformTestBed.say(a, PlatformTestBed.look("1", ""));
            Socket m1 = p.machine.nextConnection();
            // heard, so that it has its connection before the next req asks for one
            PlatformTestBed.hear(m1);
            PlatformTestBed.say(idle, PlatformTestBed.look("0", ""));
            Socket m0 = p.machine.nextConnection();
            PlatformTestBed.hear(m0);
            PlatformTestBed.say(m0, PlatformTestBed.ok("0"));
            PlatformTestBed.hear(idle);
            p.front.drain();
            PlatformTestBed.await("unready", () -> health(h).startsWith("HTTP/1.1 503 "));
            Socket b = p.client();
            PlatformTestBed.say(b, PlatformTestBed.look("2", ""));
            p.event(Event.RequestReceived.class, 3);
            assertTrue(
                    PlatformTestBed.hear(idle).contains("<end>"), "idle connections end once nobody new is sent here");
            PlatformTestBed.say(m1, PlatformTestBed.ok("one"));
            String one = PlatformTestBed.hear(a);
            assertTrue(one.endsWith("one") && one.contains("Connection: close\r\n"), one);
            // on the connection that served 0, or on one of its own
            Socket m2 = p.machine.calls.isEmpty() ? m0 : p.machine.nextConnection();
            PlatformTestBed.say(m2, PlatformTestBed.ok("two"));
            assertTrue(PlatformTestBed.hear(b).endsWith("two"));
            assertEquals(null, p.front.termination().get(20, java.util.concurrent.TimeUnit.SECONDS));
        }
    }

    private static String health(Socket s) {
        try {
            PlatformTestBed.say(s, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
            return PlatformTestBed.hear(s);
        } catch (java.io.IOException e) {
            return "";
        }
    }

    @Test
    void silentConnectionsNeverKeepClientsOut() throws Exception {
        try (PlatformTestBed p = new PlatformTestBed(128, 5000, PlatformTestBed::once)) {
            for (int i = 0; i < 300; i++) {
                p.client();
            }
            Socket c = p.client();
            PlatformTestBed.say(c, PlatformTestBed.look("1", ""));
            Socket m = p.machine.nextConnection();
            PlatformTestBed.hear(m);
            PlatformTestBed.say(m, PlatformTestBed.ok("served"));
            assertTrue(PlatformTestBed.hear(c).endsWith("served"));
            Socket slow = p.client();
            PlatformTestBed.say(slow, "GET /look HTTP/1.1\r\nHo");
            assertTrue(PlatformTestBed.hear(slow).startsWith("HTTP/1.1 408 "));
        }
    }

    @Test
    void oneReaderGivesTheSameSettingsFromJsonAndFromTheWire() throws Exception {
        var json = new ObjectMapper().readTree(PlatformTestBed.SETTINGS.formatted(800));
        Map<String, String> pairs = new TreeMap<>(SettingsFlattener.flatten(json));
        assertEquals("2", pairs.get("services.count"));
        assertEquals("0.1,0.5,1.0", pairs.get("familyInfo.stageCap"));
        StringBuilder wire = new StringBuilder();
        pairs.forEach((k, v) -> wire.append(k).append('=').append(v).append(' '));
        Map<String, String> read = new HashMap<>();
        for (String pair : wire.toString().strip().split(" ")) {
            read.put(pair.substring(0, pair.indexOf('=')), pair.substring(pair.indexOf('=') + 1));
        }
        assertEquals(OptionsParser.settings(read), OptionsParser.settings(pairs));
        assertEquals(8_000, OptionsParser.settings(pairs).rollout().voteTimeoutTicks());
        assertEquals(List.of("look", "pay"), OptionsParser.socketOptions(pairs).routes());
    }

    @Test
    void aConfigurationThatLacksAFieldNamesIt() throws Exception {
        try (PlatformTestBed p = new PlatformTestBed(PlatformTestBed::nothing)) {
            NodeConfiguration sound = p.config(p.discovery, p.desk);
            assertFalse(sound.settings().routes().isEmpty());
        }
        String sound =
                "{\"name\":\"n\",\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:2\",\"limits\":{\"sockets\":256},"
                        + "\"rollouts\":{\"address\":\"127.0.0.1:3\"},\"settings\":"
                        + PlatformTestBed.SETTINGS.formatted(800)
                        + "}";
        ObjectMapper json = new ObjectMapper();
        NodeConfiguration.of(json.readTree(sound), Map.of());
        for (String field : List.of("name", "listen", "discovery", "limits", "rollouts", "settings")) {
            ObjectNode cut = (ObjectNode) json.readTree(sound);
            cut.remove(field);
            String told = assertThrows(InvalidConfigurationException.class, () -> NodeConfiguration.of(cut, Map.of()))
                    .getMessage();
            assertTrue(told.startsWith(field), told);
        }
        String told = assertThrows(
                        InvalidConfigurationException.class,
                        () -> NodeConfiguration.of(
                                json.readTree(sound.replace("\"effect\":\"safe\"", "\"effect\":\"odd\"")), Map.of()))
                .getMessage();
        assertTrue(told.startsWith("settings.services.0.effect"), told);
        assertThrows(
                InvalidConfigurationException.class,
                () -> NodeConfiguration.read(java.nio.file.Path.of("no/such/file"), Map.of()));
    }
}

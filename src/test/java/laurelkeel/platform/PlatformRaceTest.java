package laurelkeel.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import laurelkeel.api.Action;
import laurelkeel.api.Event;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.front.NodeRuntime;
import org.junit.jupiter.api.Test;

/** Orders of events that hardly ever come about, each made to come about every time. */
class PlatformRaceTest {
    /** Real time, and what a test adds to it. */
    private final AtomicLong ahead = new AtomicLong();

    private final LongSupplier real = NodeRuntime.monotonicClock();

    private long clock() {
        return real.getAsLong() + ahead.get();
    }
    /** Only what a test adds, until it lets the clock go. */
    private final AtomicBoolean goes = new AtomicBoolean();

    private long standing() {
        return (goes.get() ? real.getAsLong() : 36_000_000) + ahead.get();
    }

    // ---- lists

    @Test
    void aListMayBeLaidOutOverLinesAndCutAnywhere() throws Exception {
        try (PlatformTestBed p = new PlatformTestBed(PlatformTestBed::nothing)) {
            Socket w = p.watch();
            String indented = PlatformTestBed.list(2, false, p.entry("leaving", 1, p.machine))
                            .replace("{", "{\r\n  ")
                            .replace(",", ",\n  ")
                    + "\r\n"
                    + PlatformTestBed.list(3, false, p.entry("active", 1, p.machine))
                            .replace("\":", "\" :\n ");
            for (int i = 0; i < indented.length(); i++) {
                char c = indented.charAt(i);
                PlatformTestBed.say(w, PlatformTestBed.chunk(String.valueOf(c)));
            }
            assertEquals(
                    EndpointState.DRAINING,
                    p.event(Event.EndpointListUpdate.class, 2).entries().get(0).state());
            assertEquals(
                    EndpointState.ACTIVE,
                    p.event(Event.EndpointListUpdate.class, 3).entries().get(0).state());
            assertEquals(3, p.node.endpointListVersion());
        }
    }

    @Test
    void whatIsNoListEndsTheWatchAndTheLastGoodOneStays() throws Exception {
        try (PlatformTestBed p = new PlatformTestBed(PlatformTestBed::nothing)) {
            for (String bad : List.of(
                    "[1]",
                    "7 ",
                    "{\"version\":9,\"full\":true,\"servers\":[}",
                    "{\"version\":9,\"full\":true}",
                    "{\"version\":9,\"full\":true,\"servers\":[{\"id\":\"s-9\"}]}",
                    "\1\2",
                    "{\"a\":\"" + "x".repeat(1 << 20))) {
                Socket w = p.discovery.nextConnection();
                assertTrue(PlatformTestBed.hear(w).contains("after=1 "), "nothing of it was followed");
                try {
                    PlatformTestBed.say(
                            w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + PlatformTestBed.chunk(bad));
                } catch (java.io.IOException e) {
                    // the node ended it while the last of so much was still on its way
                }
            }
            p.discovery.nextConnection();
            assertEquals(1, p.all(Event.EndpointListUpdate.class).size());
        }
    }

    /** Whoever lags behind, or was delayed on the way, names machines that drain as sound ones. */
    @Test
    void anOlderWholeListIsNotFollowedUntilItHasStoodForLong() throws Exception {
        try (PlatformTestBed p = new PlatformTestBed(1024, 5000, this::clock, PlatformTestBed::nothing)) {
            Socket w = p.watch(PlatformTestBed.list(5, false, p.entry("leaving", 1, p.machine)));
            p.event(Event.EndpointListUpdate.class, 2);
            String old = PlatformTestBed.chunk(PlatformTestBed.list(4, true, p.entry("active", 1, p.machine)) + "\n");
            PlatformTestBed.say(w, old);
            Socket next = p.discovery.nextConnection();
            assertTrue(PlatformTestBed.hear(next).contains("after=5 "));
            PlatformTestBed.say(next, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + old);
            next = p.discovery.nextConnection();
            PlatformTestBed.hear(next);
            assertEquals(2, p.all(Event.EndpointListUpdate.class).size());
            // discovery has begun anew: nothing newer comes for longer than it may take, so the silent watch is given
            // up too
            ahead.addAndGet(61_000);
            assertTrue(PlatformTestBed.hear(next).contains("<end>"));
            next = p.discovery.nextConnection();
            PlatformTestBed.hear(next);
            PlatformTestBed.say(next, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + old);
            assertEquals(
                    EndpointListKind.SNAPSHOT,
                    p.event(Event.EndpointListUpdate.class, 3).kind());
        }
    }

    // ---- a watch that falls silent

    /** What it misses counts as told 6 s after it fell silent; the clock stands but for what the test adds, 5.1 s in all. */
    @Test
    void aSecondSilentWatchLeavesTimeForAThird() throws Exception {
        try (PlatformTestBed p = new PlatformTestBed(1024, 5000, this::standing, PlatformTestBed::nothing)) {
            p.watch(PlatformTestBed.list(2, false, p.entry("active", 1, p.machine)));
            p.event(Event.EndpointListUpdate.class, 2);
            PlatformTestBed.lines(p.desk.nextConnection()).readLine();
            ahead.addAndGet(32_000);
            Socket second = p.discovery.nextConnection();
            PlatformTestBed.hear(second);
            ahead.addAndGet(8_000);
            assertTrue(PlatformTestBed.hear(second).contains("<end>"));
            ahead.addAndGet(10_500);
            Socket third = p.discovery.nextConnection();
            assertTrue(PlatformTestBed.hear(third).contains("after=2 "));
            // bytes that never become anything are no sign of life for ever
            PlatformTestBed.say(
                    third,
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + PlatformTestBed.chunk("{\"version\":"));
            ahead.addAndGet(40_000);
            assertTrue(PlatformTestBed.hear(third).contains("<end>"));
            // for its drain
            goes.set(true);
        }
    }

    // ---- an attempt that waits for its connection

    /** Takes all eight connections that so small a node may have to machines; returns who asked, then the machine's side. */
    private static List<List<Socket>> takeAll(PlatformTestBed p) throws Exception {
        List<Socket> asking = new ArrayList<>(), machine = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            Socket c = p.client();
            PlatformTestBed.say(c, PlatformTestBed.look("a" + i, ""));
            asking.add(c);
            Socket m = p.machine.nextConnection();
            PlatformTestBed.hear(m);
            machine.add(m);
        }
        return List.of(asking, machine);
    }

    /** Sends the first eight reqs to one machine, and the others as asked. */
    private static List<Action> then(String machine, Event e) {
        if (e instanceof Event.RequestReceived r) {
            return List.of(new Action.SendAttempt(r.requestId(), machine, 0));
        }
        return e instanceof Event.AttemptEnded t && !t.requestEnded()
                ? List.of(new Action.FailRequest(t.requestId()))
                : List.of();
    }

    private PlatformTestBed small(String ninth) throws Exception {
        return new PlatformTestBed(
                64,
                5000,
                this::clock,
                (p, e) -> then(p.all(Event.RequestReceived.class).size() <= 8 ? "s-1" : ninth, e));
    }

    @Test
    void anAttemptTellsTheTimeThatIsLeftAsItIsWritten() throws Exception {
        try (PlatformTestBed p = small("s-1")) {
            List<List<Socket>> all = takeAll(p);
            Socket late = p.client();
            PlatformTestBed.say(late, PlatformTestBed.look("late", ""));
            p.event(Event.RequestReceived.class, 9);
            ahead.addAndGet(8_000);
            PlatformTestBed.say(all.get(1).get(0), PlatformTestBed.ok("x"));
            String got = PlatformTestBed.hear(all.get(1).get(0));
            assertTrue(got.contains("X-Correlation-Id: late\r\n") && got.contains("X-Time-Left: 3."), got);
        }
    }

    @Test
    void anAttemptWhoseClientLeavesWhileItWaitsIsNotWritten() throws Exception {
        try (PlatformTestBed p = small("s-1")) {
            List<List<Socket>> all = takeAll(p);
            Socket leaves = p.client();
            PlatformTestBed.say(leaves, PlatformTestBed.look("leaves", ""));
            p.event(Event.RequestReceived.class, 9);
            leaves.close();
            p.event(Event.ClientDisconnected.class, 1);
            PlatformTestBed.say(all.get(1).get(0), PlatformTestBed.ok("x"));
            assertEquals(
                    AttemptOutcome.NOT_SENT,
                    p.event(Event.AttemptEnded.class, 2).outcome());
            Socket next = p.client();
            PlatformTestBed.say(next, PlatformTestBed.look("next", ""));
            assertTrue(PlatformTestBed.hear(all.get(1).get(0)).contains("X-Correlation-Id: next\r\n"));
        }
    }

    /** The machine would end it after 15 s, and whatever is written then is lost with it. */
    @Test
    void anIdleConnectionEndsBeforeTheMachineWouldEndIt() throws Exception {
        try (PlatformTestBed p = new PlatformTestBed(1024, 5000, this::standing, PlatformTestBed::once)) {
            Socket c = p.client();
            PlatformTestBed.say(c, PlatformTestBed.look("1", ""));
            Socket m = p.machine.nextConnection();
            PlatformTestBed.hear(m);
            PlatformTestBed.say(m, PlatformTestBed.ok("1"));
            PlatformTestBed.hear(c);
            ahead.addAndGet(120_000);
            PlatformTestBed.say(c, PlatformTestBed.look("2", ""));
            assertTrue(
                    PlatformTestBed.hear(m).contains("X-Correlation-Id: 2\r\n"),
                    "it is kept for as long as it is sound");
            PlatformTestBed.say(m, PlatformTestBed.ok("2"));
            PlatformTestBed.hear(c);
            ahead.addAndGet(140_000);
            assertEquals("<end>", PlatformTestBed.hear(m));
            goes.set(true);
        }
    }

    @Test
    void aPlaceThatBecomesFreeGoesToTheMachineThatWaitsForOne() throws Exception {
        try (PlatformTestBed.FakeServer other = new PlatformTestBed.FakeServer();
                PlatformTestBed p = small("s-2")) {
            p.watch(PlatformTestBed.list(2, false, p.entry("s-2", "active", 1, other)));
            p.event(Event.EndpointListUpdate.class, 2);
            List<List<Socket>> all = takeAll(p);
            Socket waits = p.client();
            PlatformTestBed.say(waits, PlatformTestBed.look("waits", ""));
            p.event(Event.RequestReceived.class, 9);
            PlatformTestBed.say(all.get(1).get(0), PlatformTestBed.ok("x"));
            Socket m = other.nextConnection();
            assertTrue(PlatformTestBed.hear(m).contains("X-Correlation-Id: waits\r\n"));
            PlatformTestBed.say(m, PlatformTestBed.ok("y"));
            assertTrue(PlatformTestBed.hear(waits).endsWith("y"));
        }
    }

    /** A client that has ended its output may still be reading, and cannot be told from one that has closed. */
    @Test
    void aClientThatEndsItsOutputHasItsAnswerAndNoFurtherAttempt() throws Exception {
        try (PlatformTestBed p = new PlatformTestBed(PlatformTestBed::once)) {
            Socket c = p.client();
            PlatformTestBed.say(c, PlatformTestBed.look("1", ""));
            PlatformTestBed.hear(p.machine.nextConnection());
            c.shutdownOutput();
            assertTrue(PlatformTestBed.hear(c).startsWith("HTTP/1.1 502 "));
            assertEquals("<end>", PlatformTestBed.hear(c));
            p.event(Event.ClientDisconnected.class, 1);
            assertEquals(1, p.all(Event.RequestReceived.class).size());
        }
    }

    @Test
    void allThatAClientHadAskedBeforeItEndedItsOutputIsAnswered() throws Exception {
        try (PlatformTestBed p = new PlatformTestBed(PlatformTestBed::once)) {
            Socket c = p.client();
            PlatformTestBed.say(
                    c,
                    PlatformTestBed.look("1", "") + PlatformTestBed.look("2", "")
                            + "GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n");
            PlatformTestBed.hear(p.machine.nextConnection());
            c.shutdownOutput();
            assertTrue(PlatformTestBed.hear(c).startsWith("HTTP/1.1 502 "));
            assertTrue(PlatformTestBed.hear(c).startsWith("HTTP/1.1 503 "));
            assertTrue(PlatformTestBed.hear(c).startsWith("HTTP/1.1 404 "));
            assertEquals("<end>", PlatformTestBed.hear(c));
        }
    }
}

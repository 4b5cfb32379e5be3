package laurelkeel.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.UnaryOperator;
import laurelkeel.api.Action;
import laurelkeel.api.Action.CastVote;
import laurelkeel.api.Action.Verdict;
import laurelkeel.api.Decider;
import laurelkeel.api.Event;
import laurelkeel.front.FrontTestPeers;
import laurelkeel.front.NodeRuntime;
import laurelkeel.front.NodeServices;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What may come to a node before it has started, in the orders that two threads may take. */
class StartOrderTest {
    private static final long HELD_UP_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final AtomicInteger turns = new AtomicInteger();
    private PlatformTestBed.FakeServer discovery, control;

    @BeforeEach
    void open() throws Exception {
        discovery = new PlatformTestBed.FakeServer();
        control = new PlatformTestBed.FakeServer();
    }

    @AfterEach
    void close() throws Exception {
        discovery.close();
        control.close();
    }

    private static NodeConfiguration config(
            PlatformTestBed.FakeServer discoveryAt, PlatformTestBed.FakeServer controlAt) throws Exception {
        String json = "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discoveryAt.address()
                + "\",\"limits\":{\"sockets\":256},\"rollouts\":{\"address\":\"" + controlAt.address()
                + "\",\"news\":{\"build\":24,\"stage\":1,\"phase\":\"Progressing\",\"cap\":0.5,\"age_ms\":9000}},\"settings\":"
                + PlatformTestBed.SETTINGS.formatted(800) + "}";
        return NodeConfiguration.of(Json.MAPPER.readTree(json), java.util.Map.of());
    }

    /** Votes at its first turn. */
    private Decider voter() {
        return (now, events) ->
                turns.getAndIncrement() == 0 ? List.of(new CastVote(24, 1, Verdict.PROMOTE)) : List.of();
    }

    /** The thread that starts the sources is held up until the first turn has come, or for a second. */
    private NodeServices heldUp(NodeServices node) {
        return (NodeServices) Proxy.newProxyInstance(
                NodeServices.class.getClassLoader(), new Class<?>[] {NodeServices.class}, (proxy, method, args) -> {
                    if (method.getName().equals("start")) {
                        long end = System.nanoTime() + HELD_UP_NANOS;
                        while (turns.get() == 0 && System.nanoTime() < end) {
                            LockSupport.parkNanos(1_000_000);
                        }
                    }
                    try {
                        return method.invoke(node, args);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }

    private void votesReachTheControlService(UnaryOperator<NodeServices> between) throws Exception {
        PlatformNode node = PlatformNode.create(
                config(discovery, control), (settings, seed) -> voter(), NodeRuntime.monotonicClock(), between);
        node.frontNode().start();
        Socket first = control.nextConnection();
        Socket second = control.nextConnection();
        List<String> said = List.of(
                PlatformTestBed.lines(first).readLine(),
                PlatformTestBed.lines(second).readLine());
        assertTrue(said.contains("SUB") && said.contains("SAY 24 1 approve"), said.toString());
        node.frontNode().drain();
        assertEquals(null, node.frontNode().termination().get(30, TimeUnit.SECONDS));
    }

    @Test
    void aVoteOfTheFirstTurnReachesTheControlService() throws Exception {
        votesReachTheControlService(node -> node);
    }

    @Test
    void aVoteReachesTheControlServiceHoweverLongTheStartIsHeldUp() throws Exception {
        votesReachTheControlService(this::heldUp);
    }

    /** SIGHUP right at the start: the addresses of the configuration before must not come back. */
    @Test
    void aConfigurationFollowedBeforeTheStartStays() throws Exception {
        try (PlatformTestBed.FakeServer moved = new PlatformTestBed.FakeServer()) {
            PlatformNode node =
                    PlatformNode.create(config(discovery, control), (settings, seed) -> (now, events) -> List.of());
            node.reconfigure(config(moved, control));
            node.frontNode().start();
            moved.nextConnection().close();
            moved.nextConnection();
            assertTrue(discovery.hasNoConnection());
            node.frontNode().drain();
            assertEquals(null, node.frontNode().termination().get(30, TimeUnit.SECONDS));
        }
    }

    /** What cannot even be tried has failed, and the front goes on. */
    @Test
    void aVoteThatCannotBeSentIsAFailedVote() throws Exception {
        List<Event> events = new CopyOnWriteArrayList<>();
        Decider decider = FrontTestPeers.decider(
                events, e -> turns.getAndIncrement() == 0 ? List.of(new CastVote(24, 1, Verdict.PROMOTE)) : List.of());
        PlatformNode node = PlatformNode.create(
                config(discovery, control),
                (settings, seed) -> decider,
                NodeRuntime.monotonicClock(),
                StartOrderTest::unableToVote);
        node.frontNode().start();
        PlatformTestBed.await("the vote has failed", () -> events.stream()
                .anyMatch(e -> e instanceof Event.RolloutUpdate n
                        && n.answersVote()
                        && n.status() == Event.ControlStatus.FAILED));
        assertFalse(node.frontNode().termination().isDone());
        node.frontNode().drain();
        assertEquals(null, node.frontNode().termination().get(30, TimeUnit.SECONDS));
    }

    private static NodeServices unableToVote(NodeServices node) {
        return failing(node, "castVote");
    }

    /** One that fails at whatever the decision module asks for by that name. */
    private static NodeServices failing(NodeServices node, String name) {
        assertTrue(
                Arrays.stream(NodeServices.class.getMethods())
                        .anyMatch(method -> method.getName().equals(name)),
                () -> "no call is named " + name);
        return (NodeServices) Proxy.newProxyInstance(
                NodeServices.class.getClassLoader(), new Class<?>[] {NodeServices.class}, (proxy, method, args) -> {
                    if (method.getName().equals(name)) {
                        throw new IllegalArgumentException("made");
                    }
                    try {
                        return method.invoke(node, args);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }

    @Test
    void anActionThatCannotBeCarriedOutStopsNoOther() throws Exception {
        Decider decider = (now, events) -> turns.getAndIncrement() == 0
                ? List.of(new Action.SendGossip(1, new byte[0]), new CastVote(24, 1, Verdict.PROMOTE))
                : List.of();
        PlatformNode node = PlatformNode.create(
                config(discovery, control),
                (settings, seed) -> decider,
                NodeRuntime.monotonicClock(),
                of -> failing(of, "sendGossip"));
        node.frontNode().start();
        Socket first = control.nextConnection();
        Socket second = control.nextConnection();
        List<String> said = List.of(
                PlatformTestBed.lines(first).readLine(),
                PlatformTestBed.lines(second).readLine());
        assertTrue(said.contains("SAY 24 1 approve"), said.toString());
        node.frontNode().drain();
        assertEquals(null, node.frontNode().termination().get(30, TimeUnit.SECONDS));
    }

    /** Closed in whatever state it is: a drain and a failure that come before the start end it once it has started. */
    @Test
    void aDrainBeforeTheStartEndsTheFrontAfterIt() throws Exception {
        PlatformNode node = PlatformNode.create(config(discovery, control), (settings, seed) -> voter());
        node.frontNode().drain();
        node.frontNode().start();
        assertEquals(null, node.frontNode().termination().get(30, TimeUnit.SECONDS));
        PlatformNode failed = PlatformNode.create(config(discovery, control), (settings, seed) -> voter());
        Error made = new OutOfMemoryError("made");
        failed.frontNode().fail(made);
        failed.frontNode().start();
        assertEquals(made, failed.frontNode().termination().get(30, TimeUnit.SECONDS));
        assertThrows(IllegalStateException.class, () -> failed.frontNode().start());
    }
}

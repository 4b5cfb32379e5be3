package laurelkeel.platform;

import static laurelkeel.platform.PlatformTestBed.await;
import static laurelkeel.platform.PlatformTestBed.lineReader;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
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
    private static final long MAX_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final CastVote VOTE = new CastVote(24, 1, Verdict.PROMOTE);

    private final AtomicInteger turns = new AtomicInteger();
    private PlatformTestBed.FakeServer discovery;
    private PlatformTestBed.FakeServer control;

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

    private static NodeConfiguration configuration(
            PlatformTestBed.FakeServer discoveryServer, PlatformTestBed.FakeServer controlServer) throws Exception {
        String json = "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discoveryServer.address()
                + "\",\"limits\":{\"sockets\":256},\"rollouts\":{\"address\":\"" + controlServer.address()
                + "\",\"news\":{\"build\":24,\"stage\":1,\"phase\":\"Progressing\",\"cap\":0.5,\"age_ms\":9000}},\"settings\":"
                + PlatformTestBed.SETTINGS.formatted(800) + "}";
        return NodeConfiguration.of(Json.MAPPER.readTree(json), Map.of());
    }

    /** Votes in its first turn. */
    private Decider voter() {
        return (now, events) -> turns.getAndIncrement() == 0 ? List.of(VOTE) : List.of();
    }

    private PlatformNode createNode(Decider decider, UnaryOperator<NodeServices> decorator) throws Exception {
        return PlatformNode.create(
                configuration(discovery, control),
                (settings, seed) -> decider,
                NodeRuntime.monotonicClock(),
                decorator);
    }

    /** The services, with something that is run before each call of one method. */
    private static NodeServices intercepted(NodeServices services, String methodName, Runnable beforeCall) {
        // a method that does not exist would never be called, and the test would show nothing
        assertTrue(
                Arrays.stream(NodeServices.class.getMethods())
                        .anyMatch(method -> method.getName().equals(methodName)),
                () -> "no method is named " + methodName);
        return (NodeServices) Proxy.newProxyInstance(
                NodeServices.class.getClassLoader(), new Class<?>[] {NodeServices.class}, (proxy, method, args) -> {
                    if (method.getName().equals(methodName)) {
                        beforeCall.run();
                    }
                    try {
                        return method.invoke(services, args);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }

    /** Returns after the first turn, or after a second. */
    private void awaitFirstTurn() {
        long endNanos = System.nanoTime() + MAX_DELAY_NANOS;
        while (turns.get() == 0 && System.nanoTime() < endNanos) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
        }
    }

    private static void fail() {
        throw new IllegalArgumentException("thrown for the test");
    }

    private static void assertEndsAfterDrain(PlatformNode node) throws Exception {
        node.frontNode().drain();
        assertEquals(null, awaitTermination(node));
    }

    private static Throwable awaitTermination(PlatformNode node) throws Exception {
        return node.frontNode().termination().get(30, TimeUnit.SECONDS);
    }

    /** The first lines on the node's two connections to the control service. */
    private List<String> awaitControlServiceLines() throws Exception {
        Socket first = control.nextConnection();
        Socket second = control.nextConnection();
        return List.of(lineReader(first).readLine(), lineReader(second).readLine());
    }

    private void assertVoteReachesTheControlService(UnaryOperator<NodeServices> decorator) throws Exception {
        PlatformNode node = createNode(voter(), decorator);
        node.frontNode().start();
        List<String> lines = awaitControlServiceLines();
        assertTrue(lines.contains("SUB") && lines.contains("SAY 24 1 approve"), lines.toString());
        assertEndsAfterDrain(node);
    }

    @Test
    void aVoteOfTheFirstTurnReachesTheControlService() throws Exception {
        assertVoteReachesTheControlService(services -> services);
    }

    /** The thread that starts the services is delayed until the first turn has come, or for a second. */
    @Test
    void aVoteReachesTheControlServiceHoweverLongTheStartIsDelayed() throws Exception {
        assertVoteReachesTheControlService(services -> intercepted(services, "start", this::awaitFirstTurn));
    }

    /** SIGHUP right at the start: the addresses of the configuration before must not come back. */
    @Test
    void aConfigurationFollowedBeforeTheStartStays() throws Exception {
        try (PlatformTestBed.FakeServer moved = new PlatformTestBed.FakeServer()) {
            PlatformNode node = PlatformNode.create(
                    configuration(discovery, control), (settings, seed) -> (now, events) -> List.of());
            node.reconfigure(configuration(moved, control));
            node.frontNode().start();
            moved.nextConnection().close();
            moved.nextConnection();
            assertTrue(discovery.hasNoConnection());
            assertEndsAfterDrain(node);
        }
    }

    /** A vote that could not even be tried has failed, and the node goes on. */
    @Test
    void aVoteThatCannotBeSentIsAFailedVote() throws Exception {
        List<Event> events = new CopyOnWriteArrayList<>();
        Decider decider =
                FrontTestPeers.decider(events, event -> turns.getAndIncrement() == 0 ? List.of(VOTE) : List.of());
        PlatformNode node = createNode(decider, services -> intercepted(services, "castVote", StartOrderTest::fail));
        node.frontNode().start();
        await("the vote has failed", () -> events.stream()
                .anyMatch(event -> event instanceof Event.RolloutUpdate update
                        && update.answersVote()
                        && update.status() == Event.ControlStatus.FAILED));
        assertFalse(node.frontNode().termination().isDone());
        assertEndsAfterDrain(node);
    }

    @Test
    void anActionThatCannotBeCarriedOutStopsNoOther() throws Exception {
        Decider decider = (now, events) ->
                turns.getAndIncrement() == 0 ? List.of(new Action.SendGossip(1, new byte[0]), VOTE) : List.of();
        PlatformNode node = createNode(decider, services -> intercepted(services, "sendGossip", StartOrderTest::fail));
        node.frontNode().start();
        List<String> lines = awaitControlServiceLines();
        assertTrue(lines.contains("SAY 24 1 approve"), lines.toString());
        assertEndsAfterDrain(node);
    }

    /** A drain and a failure that come before the start end the node once it has started. */
    @Test
    void aDrainBeforeTheStartEndsTheFrontAfterIt() throws Exception {
        PlatformNode drained = PlatformNode.create(configuration(discovery, control), (settings, seed) -> voter());
        drained.frontNode().drain();
        drained.frontNode().start();
        assertEquals(null, awaitTermination(drained));
        PlatformNode failed = PlatformNode.create(configuration(discovery, control), (settings, seed) -> voter());
        Error failure = new OutOfMemoryError("thrown for the test");
        failed.frontNode().fail(failure);
        failed.frontNode().start();
        assertEquals(failure, awaitTermination(failed));
        assertThrows(IllegalStateException.class, () -> failed.frontNode().start());
    }
}

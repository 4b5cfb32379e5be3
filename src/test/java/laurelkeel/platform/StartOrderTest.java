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

/** Calls and events that may reach a node before it has started, in the orders in which two threads may run. */
class StartOrderTest {
    private static final long MAX_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final CastVote VOTE = new CastVote(24, 1, Verdict.PROMOTE);

    private final AtomicInteger turns = new AtomicInteger();
    private PlatformTestBed.FakeServer discovery;
    private PlatformTestBed.FakeServer controlService;

    @BeforeEach
    void open() throws Exception {
        discovery = new PlatformTestBed.FakeServer();
        controlService = new PlatformTestBed.FakeServer();
    }

    @AfterEach
    void close() throws Exception {
        discovery.close();
        controlService.close();
    }

    private static NodeConfiguration configuration(
            PlatformTestBed.FakeServer discoveryServer, PlatformTestBed.FakeServer controlServer) throws Exception {
        String json = "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discoveryServer.address()
                + "\",\"limits\":{\"sockets\":256},\"rollouts\":{\"address\":\"" + controlServer.address()
                + "\",\"news\":{\"build\":24,\"stage\":1,\"phase\":\"Progressing\",\"cap\":0.5,\"age_ms\":9000}},\"settings\":"
                + PlatformTestBed.SETTINGS.formatted(800) + "}";
        return NodeConfiguration.of(Json.MAPPER.readTree(json), Map.of());
    }

    /** Returns a decider that votes in its first turn. */
    private Decider voter() {
        return (now, events) -> turns.getAndIncrement() == 0 ? List.of(VOTE) : List.of();
    }

    private PlatformNode createNode(Decider decider, UnaryOperator<NodeServices> decorator) throws Exception {
        return PlatformNode.create(
                configuration(discovery, controlService),
                (settings, seed) -> decider,
                NodeRuntime.monotonicClock(),
                decorator);
    }

    /** Wraps services so that a task is run before each call of one method. */
    private static NodeServices intercepted(NodeServices services, String methodName, Runnable beforeCall) {
        // with a method name that does not exist, nothing would be intercepted and the test would verify nothing
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

    /** Waits for the first turn, for at most one second. */
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

    /** Returns the first lines on the node's two connections to the control service. */
    private List<String> awaitControlServiceLines() throws Exception {
        Socket first = controlService.nextConnection();
        Socket second = controlService.nextConnection();
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

    /** Delays the thread that starts the services until the first turn has run, for at most one second. */
    @Test
    void aVoteReachesTheControlServiceEvenIfTheStartIsDelayed() throws Exception {
        assertVoteReachesTheControlService(services -> intercepted(services, "start", this::awaitFirstTurn));
    }

    /** After a SIGHUP right at the start, the addresses of the previous configuration must not be used again. */
    @Test
    void aConfigurationAppliedBeforeTheStartIsRetained() throws Exception {
        try (PlatformTestBed.FakeServer moved = new PlatformTestBed.FakeServer()) {
            PlatformNode node = PlatformNode.create(
                    configuration(discovery, controlService), (settings, seed) -> (now, events) -> List.of());
            node.reconfigure(configuration(moved, controlService));
            node.frontNode().start();
            moved.nextConnection().close();
            moved.nextConnection();
            assertTrue(discovery.hasNoConnection());
            assertEndsAfterDrain(node);
        }
    }

    /** A vote that could not be attempted is reported as failed, and the node continues to run. */
    @Test
    void aVoteThatCannotBeSentIsReportedAsFailed() throws Exception {
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
    void aFailedActionDoesNotPreventOtherActions() throws Exception {
        Decider decider = (now, events) ->
                turns.getAndIncrement() == 0 ? List.of(new Action.SendGossip(1, new byte[0]), VOTE) : List.of();
        PlatformNode node = createNode(decider, services -> intercepted(services, "sendGossip", StartOrderTest::fail));
        node.frontNode().start();
        List<String> lines = awaitControlServiceLines();
        assertTrue(lines.contains("SAY 24 1 approve"), lines.toString());
        assertEndsAfterDrain(node);
    }

    /** A drain or a failure before the start ends the node once it has started. */
    @Test
    void aDrainOrFailureBeforeTheStartEndsTheNodeAfterIt() throws Exception {
        PlatformNode drained =
                PlatformNode.create(configuration(discovery, controlService), (settings, seed) -> voter());
        drained.frontNode().drain();
        drained.frontNode().start();
        assertEquals(null, awaitTermination(drained));
        PlatformNode failed =
                PlatformNode.create(configuration(discovery, controlService), (settings, seed) -> voter());
        Error failure = new OutOfMemoryError("thrown for the test");
        failed.frontNode().fail(failure);
        failed.frontNode().start();
        assertEquals(failure, awaitTermination(failed));
        assertThrows(IllegalStateException.class, () -> failed.frontNode().start());
    }
}

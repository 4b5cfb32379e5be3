package laurelkeel.platform;

import static laurelkeel.platform.PlatformTestBed.WATCH_RESPONSE_HEAD;
import static laurelkeel.platform.PlatformTestBed.chunk;
import static laurelkeel.platform.PlatformTestBed.getHealth;
import static laurelkeel.platform.PlatformTestBed.lineReader;
import static laurelkeel.platform.PlatformTestBed.receive;
import static laurelkeel.platform.PlatformTestBed.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Deque;
import laurelkeel.api.Event;
import laurelkeel.api.Ticks;
import laurelkeel.front.FrontTestRig;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A node whose discovery or control service takes long to respond must hear it, and hold to its last state until then. */
class SlowServiceTest {
    private static final long STEP_MILLIS = 100;

    private final TestClock clock = TestClock.stopped();
    private final Deque<AutoCloseable> open = new ArrayDeque<>();

    @AfterEach
    void close() throws Exception {
        // lets the drain complete
        clock.run();
        while (!open.isEmpty()) {
            open.pop().close();
        }
    }

    private PlatformTestBed testBed() throws Exception {
        PlatformTestBed testBed = new PlatformTestBed(1024, 5_000, clock, PlatformTestBed::doNothing);
        open.push(testBed);
        return testBed;
    }

    private PlatformTestBed.FakeServer server() throws Exception {
        PlatformTestBed.FakeServer server = new PlatformTestBed.FakeServer();
        open.push(server);
        return server;
    }

    /** Lets time pass in steps, in each of which the node may open and close connections. */
    private void pass(PlatformTestBed testBed, long millis) throws Exception {
        Socket client = testBed.connectClient();
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            clock.advance(STEP_MILLIS * Ticks.PER_MILLISECOND);
            // due tasks run at the end of the turn that handles the first request
            getHealth(client);
            getHealth(client);
        }
    }

    private static void respond(Socket watch, String list) throws Exception {
        assertTrue(receive(watch).startsWith("GET /v1/servers?watch=1"));
        send(watch, WATCH_RESPONSE_HEAD + chunk(list + "\n"));
    }

    @ParameterizedTest
    @ValueSource(longs = {1_000, 5_000})
    void discoveryThatIsSlowAtTheStartIsHeard(long delayMillis) throws Exception {
        PlatformTestBed testBed = testBed();
        Socket watch = testBed.discovery.nextConnection();
        pass(testBed, delayMillis);
        respond(watch, testBed.listJson(2, false, "leaving", 1));
        testBed.awaitEvent(Event.EndpointListUpdate.class, 2);
        assertEquals(2, testBed.node.endpointListVersion());
    }

    @ParameterizedTest
    @ValueSource(longs = {1_000, 5_000})
    void aNodeWithAnEmptyListIsReadyOnceASlowDiscoveryHasResponded(long delayMillis) throws Exception {
        PlatformTestBed testBed = testBed();
        Socket first = testBed.discovery.nextConnection();
        respond(first, PlatformTestBed.listJson(2, true));
        testBed.awaitEvent(Event.EndpointListUpdate.class, 2);
        Socket subscription = testBed.controlService.nextConnection();
        assertEquals("SUB", lineReader(subscription).readLine());
        send(subscription, "OK\r\n");
        Socket client = testBed.connectClient();
        assertTrue(getHealth(client).startsWith("HTTP/1.1 503 "));
        first.close();
        Socket watch = testBed.discovery.nextConnection();
        pass(testBed, delayMillis);
        assertTrue(getHealth(client).startsWith("HTTP/1.1 503 "));
        respond(watch, testBed.listJson(3, true, "active", 1));
        testBed.awaitEvent(Event.EndpointListUpdate.class, 3);
        FrontTestRig.await("the node is ready", () -> getHealth(client).startsWith("HTTP/1.1 200 "));
    }

    @ParameterizedTest
    @ValueSource(longs = {1_000, 5_000})
    void discoveryThatIsSlowAfterALostConnectionIsHeard(long delayMillis) throws Exception {
        PlatformTestBed testBed = testBed();
        Socket first = testBed.acceptWatch(testBed.listJson(2, false, "active", 1));
        testBed.awaitEvent(Event.EndpointListUpdate.class, 2);
        first.close();
        Socket watch = testBed.discovery.nextConnection();
        pass(testBed, delayMillis);
        respond(watch, testBed.listJson(3, false, "leaving", 1));
        testBed.awaitEvent(Event.EndpointListUpdate.class, 3);
    }

    /** A silent watch is noticed after 3 s, which leaves 3 s of the 6 s after which a change counts as known. */
    @ParameterizedTest
    @ValueSource(longs = {1_000, 2_500})
    void discoveryThatIsSlowAfterASilentConnectionIsHeard(long delayMillis) throws Exception {
        PlatformTestBed testBed = testBed();
        testBed.acceptWatch(testBed.listJson(2, false, "active", 1));
        testBed.awaitEvent(Event.EndpointListUpdate.class, 2);
        pass(testBed, 3_200);
        Socket watch = testBed.discovery.nextConnection();
        pass(testBed, delayMillis);
        respond(watch, testBed.listJson(3, false, "leaving", 1));
        testBed.awaitEvent(Event.EndpointListUpdate.class, 3);
    }

    @ParameterizedTest
    @ValueSource(longs = {1_000, 3_500})
    void servicesThatAreSlowAfterAMoveAreHeard(long delayMillis) throws Exception {
        PlatformTestBed testBed = testBed();
        testBed.acceptWatch(testBed.listJson(2, false, "active", 1));
        testBed.awaitEvent(Event.EndpointListUpdate.class, 2);
        PlatformTestBed.FakeServer nextDiscovery = server();
        PlatformTestBed.FakeServer nextControlService = server();
        testBed.node.reconfigure(testBed.configuration(nextDiscovery, nextControlService));
        Socket watch = nextDiscovery.nextConnection();
        Socket subscription = nextControlService.nextConnection();
        pass(testBed, delayMillis);
        respond(watch, testBed.listJson(3, false, "leaving", 1));
        testBed.awaitEvent(Event.EndpointListUpdate.class, 3);
        send(subscription, "OK\r\n* progress 42 1 Progressing 0.28 310\r\n");
        assertEquals(42, testBed.awaitEvent(Event.RolloutUpdate.class, 2).build());
    }

    @ParameterizedTest
    @ValueSource(longs = {1_000, 5_000})
    void aControlServiceThatIsSlowAtTheStartIsHeard(long delayMillis) throws Exception {
        PlatformTestBed testBed = testBed();
        Socket subscription = testBed.controlService.nextConnection();
        assertEquals("SUB", lineReader(subscription).readLine());
        pass(testBed, delayMillis);
        send(subscription, "OK\r\n* progress 42 1 Progressing 0.28 310\r\n");
        assertEquals(42, testBed.awaitEvent(Event.RolloutUpdate.class, 2).build());
    }

    /** A list that arrives slowly is no reason to ask for it again. */
    @Test
    void noSecondWatchIsOpenedWhileAListArrives() throws Exception {
        PlatformTestBed testBed = testBed();
        Socket watch = testBed.discovery.nextConnection();
        receive(watch);
        String list = testBed.listJson(2, false, "leaving", 1) + "\n";
        send(watch, WATCH_RESPONSE_HEAD);
        for (int part = 0; part < 5; part++) {
            pass(testBed, 500);
            send(watch, chunk(list.substring(list.length() * part / 5, list.length() * (part + 1) / 5)));
        }
        testBed.awaitEvent(Event.EndpointListUpdate.class, 2);
        assertTrue(testBed.discovery.hasNoConnection());
    }
}

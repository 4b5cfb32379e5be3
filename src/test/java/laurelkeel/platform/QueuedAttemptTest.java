package laurelkeel.platform;

import static laurelkeel.platform.PlatformTestBed.chunk;
import static laurelkeel.platform.PlatformTestBed.getRequest;
import static laurelkeel.platform.PlatformTestBed.lineReader;
import static laurelkeel.platform.PlatformTestBed.listJson;
import static laurelkeel.platform.PlatformTestBed.okResponse;
import static laurelkeel.platform.PlatformTestBed.receive;
import static laurelkeel.platform.PlatformTestBed.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;
import laurelkeel.api.Action;
import laurelkeel.api.Decider;
import laurelkeel.api.Event;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Ticks;
import laurelkeel.api.WritePermission;
import laurelkeel.api.WritePermission.Refusal;
import laurelkeel.front.FrontTestPeers;
import org.junit.jupiter.api.Test;

/** Attempts that are queued until a connection to an endpoint may be opened. */
class QueuedAttemptTest {
    private static final int SMALL_MAX_SOCKETS = 64;
    private static final int MAX_CONNECTIONS = 8;

    private final TestClock clock = TestClock.running();

    /** Occupies all eight endpoint connections of a node with few sockets, and returns the endpoint's side of them. */
    private static List<Socket> occupyAllConnections(PlatformTestBed testBed) throws Exception {
        List<Socket> occupied = new ArrayList<>();
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            send(testBed.connectClient(), getRequest("a" + i, ""));
            Socket endpointConnection = testBed.endpoint.nextConnection();
            receive(endpointConnection);
            occupied.add(endpointConnection);
        }
        return occupied;
    }

    /** Sends a request to an endpoint, and fails it if that fails. */
    private static List<Action> sendTo(String endpointId, Event event) {
        if (event instanceof Event.RequestReceived request) {
            return List.of(new Action.SendAttempt(request.requestId(), endpointId, 0));
        }
        return event instanceof Event.AttemptEnded attempt && !attempt.requestEnded()
                ? List.of(new Action.FailRequest(attempt.requestId()))
                : List.of();
    }

    /**
     * Creates a node with eight endpoint connections that sends requests after the first eight to the given endpoint.
     */
    private PlatformTestBed smallTestBed(String endpointOfNinth) throws Exception {
        return new PlatformTestBed(
                SMALL_MAX_SOCKETS,
                5000,
                clock,
                (testBed, event) -> sendTo(
                        testBed.eventsOf(Event.RequestReceived.class).size() <= MAX_CONNECTIONS
                                ? "s-1"
                                : endpointOfNinth,
                        event));
    }

    @Test
    void anAttemptCarriesTheTimeThatRemainsWhenItIsWritten() throws Exception {
        try (PlatformTestBed testBed = smallTestBed("s-1")) {
            List<Socket> occupied = occupyAllConnections(testBed);
            Socket late = testBed.connectClient();
            send(late, getRequest("late", ""));
            testBed.awaitEvent(Event.RequestReceived.class, 9);
            clock.advance(8_000);
            send(occupied.get(0), okResponse("x"));
            String received = receive(occupied.get(0));
            assertTrue(
                    received.contains("X-Correlation-Id: late\r\n") && received.contains("X-Time-Left: 3."), received);
        }
    }

    @Test
    void anAttemptWhoseClientDisconnectsWhileItIsQueuedIsNotSent() throws Exception {
        try (PlatformTestBed testBed = smallTestBed("s-1")) {
            List<Socket> occupied = occupyAllConnections(testBed);
            Socket leavingClient = testBed.connectClient();
            send(leavingClient, getRequest("leaves", ""));
            testBed.awaitEvent(Event.RequestReceived.class, 9);
            leavingClient.close();
            testBed.awaitEvent(Event.ClientDisconnected.class, 1);
            send(occupied.get(0), okResponse("x"));
            assertEquals(
                    AttemptOutcome.NOT_SENT,
                    testBed.awaitEvent(Event.AttemptEnded.class, 2).outcome());
            Socket next = testBed.connectClient();
            send(next, getRequest("next", ""));
            assertTrue(receive(occupied.get(0)).contains("X-Correlation-Id: next\r\n"));
        }
    }

    @Test
    void aFreedConnectionSlotIsUsedForTheEndpointWithAQueuedAttempt() throws Exception {
        try (PlatformTestBed.FakeServer other = new PlatformTestBed.FakeServer();
                PlatformTestBed testBed = smallTestBed("s-2")) {
            testBed.acceptWatch(listJson(2, false, testBed.entryJson("s-2", "active", 1, other)));
            testBed.awaitEvent(Event.EndpointListUpdate.class, 2);
            List<Socket> occupied = occupyAllConnections(testBed);
            Socket waitingClient = testBed.connectClient();
            send(waitingClient, getRequest("waits", ""));
            testBed.awaitEvent(Event.RequestReceived.class, 9);
            send(occupied.get(0), okResponse("x"));
            Socket endpointConnection = other.nextConnection();
            assertTrue(receive(endpointConnection).contains("X-Correlation-Id: waits\r\n"));
            send(endpointConnection, okResponse("y"));
            assertTrue(receive(waitingClient).endsWith("y"));
        }
    }

    @Test
    void anAttemptIsNotSentIfADrainOrALowerCapArrivesWhileItIsQueued() throws Exception {
        for (boolean drain : List.of(true, false)) {
            try (PlatformTestBed testBed = new PlatformTestBed(60, 5000, PlatformTestBed::sendOnce)) {
                Socket watch = testBed.acceptWatch(testBed.listJson(2, true, "active", 2));
                Socket subscription = testBed.controlService.nextConnection();
                lineReader(subscription).readLine();
                send(subscription, "OK\r\n* progress 2 1 Progressing 0.5 10\r\n");
                testBed.awaitEvent(Event.RolloutUpdate.class, 2);
                // all connections are occupied, so the next attempt is queued
                int maxConnections = SocketBudget.of(60).endpointConnections();
                for (int i = 0; i < maxConnections; i++) {
                    send(testBed.connectClient(), getRequest("r-" + i, ""));
                }
                Socket first = testBed.endpoint.nextConnection();
                for (int i = 1; i < maxConnections; i++) {
                    testBed.endpoint.nextConnection();
                }
                receive(first);
                send(testBed.connectClient(), getRequest("late", ""));
                testBed.awaitEvent(Event.RequestReceived.class, maxConnections + 1);
                if (drain) {
                    send(watch, chunk(testBed.listJson(3, false, "leaving", 2) + "\n"));
                    testBed.awaitEvent(Event.EndpointListUpdate.class, 3);
                } else {
                    send(subscription, "* progress 2 1 Aborting 0.0 10\r\n");
                    testBed.awaitEvent(Event.RolloutUpdate.class, 3);
                }
                send(first, okResponse("x"));
                testBed.awaitEvent(Event.AttemptEnded.class, 2);
                assertTrue(testBed.eventsOf(Event.AttemptEnded.class).stream()
                        .anyMatch(attempt -> attempt.outcome() == AttemptOutcome.NOT_SENT));
                assertEquals(0, first.getInputStream().available());
            }
        }
    }

    /** Guards against attempts that wait for a connection and are written although the decider would not send them any more. */
    @Test
    void anAttemptThatHasWaitedIsNotWrittenIfTheDeciderNoLongerPermitsIt() throws Exception {
        AtomicReference<WritePermission> permission = new AtomicReference<>(WritePermission.UNLIMITED);
        try (PlatformTestBed testBed = permittingTestBed(clock, nowTicks -> permission.get())) {
            List<Socket> occupied = occupyAllConnections(testBed);
            send(testBed.connectClient(), getRequest("waits", ""));
            testBed.awaitEvent(Event.RequestReceived.class, MAX_CONNECTIONS + 1);
            permission.set(WritePermission.refused(Refusal.REPEAT_NOT_RECOGNIZED));
            send(occupied.get(0), okResponse("x"));
            assertEquals(
                    AttemptOutcome.NOT_SENT,
                    testBed.awaitEvent(Event.AttemptEnded.class, 2).outcome());
            assertEquals(0, occupied.get(0).getInputStream().available());
        }
    }

    /** Guards against an I/O thread that is held up and then writes an attempt whose time to be written has passed. */
    @Test
    void anIoThreadThatIsHeldUpDoesNotWriteAnAttemptAfterItsTime() throws Exception {
        Thread creator = Thread.currentThread();
        LongSupplier heldUpOnIoThreads = () -> {
            Thread thread = Thread.currentThread();
            boolean isEventLoop = thread.equals(creator) || thread.getName().startsWith("front-");
            return clock.getAsLong() + (isEventLoop ? 0 : 2 * Ticks.PER_SECOND);
        };
        LongFunction<WritePermission> forOneSecond = nowTicks -> WritePermission.until(nowTicks + Ticks.PER_SECOND);
        try (PlatformTestBed testBed = permittingTestBed(heldUpOnIoThreads, forOneSecond)) {
            send(testBed.connectClient(), getRequest("late", ""));
            assertEquals("<end>", receive(testBed.endpoint.nextConnection()));
            assertEquals(
                    AttemptOutcome.CONNECT_FAILED,
                    testBed.awaitEvent(Event.AttemptEnded.class, 1).outcome());
        }
    }

    /** Creates a node whose decider sends each request to the endpoint and permits writes by the given function of the time. */
    private static PlatformTestBed permittingTestBed(LongSupplier clock, LongFunction<WritePermission> permissions)
            throws Exception {
        return new PlatformTestBed(SMALL_MAX_SOCKETS, 5000, clock, testBed -> (settings, seed) -> {
            Decider decider = FrontTestPeers.decider(testBed.events, event -> sendTo("s-1", event));
            return new Decider() {
                @Override
                public List<Action> decide(long nowTicks, List<Event> events) {
                    return decider.decide(nowTicks, events);
                }

                @Override
                public WritePermission mayWrite(String requestId, int attempt, long nowTicks) {
                    return permissions.apply(nowTicks);
                }
            };
        });
    }
}

package laurelkeel.platform;

import static laurelkeel.platform.PlatformTestBed.await;
import static laurelkeel.platform.PlatformTestBed.getHealth;
import static laurelkeel.platform.PlatformTestBed.getRequest;
import static laurelkeel.platform.PlatformTestBed.okResponse;
import static laurelkeel.platform.PlatformTestBed.receive;
import static laurelkeel.platform.PlatformTestBed.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import laurelkeel.api.Event;
import laurelkeel.api.Ticks;
import org.junit.jupiter.api.Test;

/** A node's connections: drain, idle connections, and clients that half-close their connections. */
class PlatformNodeTest {
    /** More requests than are decoded while the first one is unanswered. */
    private static final int LARGE_BACKLOG = 100;

    @Test
    void aDrainingNodeStillAcceptsAndAnswersRequests() throws Exception {
        try (PlatformTestBed testBed = new PlatformTestBed(PlatformTestBed::sendOnce)) {
            testBed.acceptWatch(testBed.listJson(2, true, "active", 1));
            Socket subscription = testBed.controlService.nextConnection();
            send(subscription, "OK\r\n");
            Socket healthClient = testBed.connectClient();
            await("ready", () -> getHealth(healthClient).startsWith("HTTP/1.1 200 "));
            Socket client = testBed.connectClient();
            Socket idle = testBed.connectClient();
            send(client, getRequest("1", ""));
            Socket firstConnection = testBed.endpoint.nextConnection();
            // received first, so that request 1 occupies its connection before the next request needs one
            receive(firstConnection);
            send(idle, getRequest("0", ""));
            Socket idleConnection = testBed.endpoint.nextConnection();
            receive(idleConnection);
            send(idleConnection, okResponse("0"));
            receive(idle);
            testBed.front.drain();
            await("unready", () -> getHealth(healthClient).startsWith("HTTP/1.1 503 "));
            Socket lateClient = testBed.connectClient();
            send(lateClient, getRequest("2", ""));
            testBed.awaitEvent(Event.RequestReceived.class, 3);
            assertTrue(
                    receive(idle).contains("<end>"),
                    "idle connections are closed once new clients are no longer accepted");
            send(firstConnection, okResponse("one"));
            String answer = receive(client);
            assertTrue(answer.endsWith("one") && answer.contains("Connection: close\r\n"), answer);
            // request 2 is sent on the connection that served request 0, or on a new one
            Socket lateConnection =
                    testBed.endpoint.connections.isEmpty() ? idleConnection : testBed.endpoint.nextConnection();
            send(lateConnection, okResponse("two"));
            assertTrue(receive(lateClient).endsWith("two"));
            assertEquals(null, testBed.front.termination().get(20, TimeUnit.SECONDS));
        }
    }

    /** Guards against a request that arrives late in a shutdown being cut off by SIGKILL without an answer. */
    @Test
    void aRequestThatArrivesDuringADrainIsAnsweredBeforeTheProcessMayBeKilled() throws Exception {
        TestClock clock = TestClock.stopped();
        try (PlatformTestBed testBed = new PlatformTestBed(128, 5_000, clock, PlatformTestBed::sendOnce)) {
            Socket early = testBed.connectClient();
            Socket late = testBed.connectClient();
            send(early, getRequest("1", ""));
            receive(testBed.endpoint.nextConnection());
            long drainStartTicks = clock.getAsLong();
            testBed.front.drain();
            await("draining", () -> testBed.front.health().equals("draining"));
            clock.advance(500 * Ticks.PER_MILLISECOND);
            send(late, getRequest("2", ""));
            receive(testBed.endpoint.nextConnection());
            long killTicks = drainStartTicks + 3_700 * Ticks.PER_MILLISECOND;
            testBed.awaitEvent(Event.RequestReceived.class, 2);
            List<Event.RequestReceived> received = testBed.eventsOf(Event.RequestReceived.class);
            assertTrue(received.get(1).deadlineTicks() < killTicks, received + " and SIGKILL at " + killTicks);
            assertTrue(received.get(0).deadlineTicks() > killTicks, "a request from before the drain keeps its time");
            clock.advance(3_000 * Ticks.PER_MILLISECOND);
            assertTrue(receive(late).startsWith("HTTP/1.1 50"));
            clock.run();
        }
    }

    @Test
    void silentConnectionsNeverBlockOtherClients() throws Exception {
        try (PlatformTestBed testBed = new PlatformTestBed(128, 5000, PlatformTestBed::sendOnce)) {
            for (int i = 0; i < 300; i++) {
                testBed.connectClient();
            }
            Socket client = testBed.connectClient();
            send(client, getRequest("1", ""));
            Socket endpointConnection = testBed.endpoint.nextConnection();
            receive(endpointConnection);
            send(endpointConnection, okResponse("served"));
            assertTrue(receive(client).endsWith("served"));
            Socket slow = testBed.connectClient();
            send(slow, "GET /look HTTP/1.1\r\nHo");
            assertTrue(receive(slow).startsWith("HTTP/1.1 408 "));
        }
    }

    /** The endpoint closes idle connections after 15 s, and an attempt that is sent at that time is lost. */
    @Test
    void anIdleConnectionIsClosedBeforeTheEndpointWouldCloseIt() throws Exception {
        TestClock clock = TestClock.stopped();
        try (PlatformTestBed testBed = new PlatformTestBed(1024, 5000, clock, PlatformTestBed::sendOnce)) {
            Socket client = testBed.connectClient();
            send(client, getRequest("1", ""));
            Socket endpointConnection = testBed.endpoint.nextConnection();
            receive(endpointConnection);
            send(endpointConnection, okResponse("1"));
            receive(client);
            clock.advance(120_000);
            send(client, getRequest("2", ""));
            assertTrue(receive(endpointConnection).contains("X-Correlation-Id: 2\r\n"), "the connection is reused");
            send(endpointConnection, okResponse("2"));
            receive(client);
            clock.advance(140_000);
            assertEquals("<end>", receive(endpointConnection));
            clock.run();
        }
    }

    /**
     * A client that has shut down its output may still read the response; the node cannot distinguish it from one that
     * has closed the connection.
     */
    @Test
    void aHalfClosedClientGetsItsResponseAndNoFurtherAttempt() throws Exception {
        try (PlatformTestBed testBed = new PlatformTestBed(PlatformTestBed::sendOnce)) {
            Socket client = testBed.connectClient();
            send(client, getRequest("1", ""));
            receive(testBed.endpoint.nextConnection());
            client.shutdownOutput();
            assertTrue(receive(client).startsWith("HTTP/1.1 502 "));
            assertEquals("<end>", receive(client));
            testBed.awaitEvent(Event.ClientDisconnected.class, 1);
            assertEquals(1, testBed.eventsOf(Event.RequestReceived.class).size());
        }
    }

    @Test
    void allRequestsSentBeforeAClientHalfClosesAreAnswered() throws Exception {
        try (PlatformTestBed testBed = new PlatformTestBed(PlatformTestBed::sendOnce)) {
            Socket client = testBed.connectClient();
            send(client, getRequest("1", "") + getRequest("2", "") + "GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n");
            receive(testBed.endpoint.nextConnection());
            client.shutdownOutput();
            assertTrue(receive(client).startsWith("HTTP/1.1 502 "));
            assertTrue(receive(client).startsWith("HTTP/1.1 503 "));
            assertTrue(receive(client).startsWith("HTTP/1.1 404 "));
            assertEquals("<end>", receive(client));
        }
    }

    /** The part of a request behind a half-closed client's backlog must not keep its connection open. */
    @Test
    void aHalfClosedConnectionEndsAfterItsResponsesEvenBehindAPartOfARequest() throws Exception {
        try (PlatformTestBed testBed = new PlatformTestBed(PlatformTestBed::sendOnce)) {
            Socket client = testBed.connectClient();
            send(client, getRequest("1", ""));
            receive(testBed.endpoint.nextConnection());
            StringBuilder backlog = new StringBuilder();
            for (int i = 2; i <= LARGE_BACKLOG; i++) {
                backlog.append(getRequest(Integer.toString(i), ""));
            }
            send(client, backlog + "GET /look HTTP/1.1\r\nHo");
            client.shutdownOutput();
            assertTrue(receive(client).startsWith("HTTP/1.1 502 "));
            for (int i = 2; i <= LARGE_BACKLOG; i++) {
                assertTrue(receive(client).startsWith("HTTP/1.1 503 "), "response " + i);
            }
            assertEquals("<end>", receive(client));
        }
    }
}

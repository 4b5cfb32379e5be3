package laurelkeel.platform;

import static laurelkeel.platform.PlatformTestBed.WATCH_RESPONSE_HEAD;
import static laurelkeel.platform.PlatformTestBed.characters;
import static laurelkeel.platform.PlatformTestBed.chunk;
import static laurelkeel.platform.PlatformTestBed.getHealth;
import static laurelkeel.platform.PlatformTestBed.getRequest;
import static laurelkeel.platform.PlatformTestBed.lineReader;
import static laurelkeel.platform.PlatformTestBed.listJson;
import static laurelkeel.platform.PlatformTestBed.okResponse;
import static laurelkeel.platform.PlatformTestBed.receive;
import static laurelkeel.platform.PlatformTestBed.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;
import laurelkeel.api.Event;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.api.Ticks;
import org.junit.jupiter.api.Test;

/** Receiving endpoint lists from discovery, and their effect on the node. */
class DiscoveryClientTest {
    @Test
    void aListMayArriveInPiecesAndAWatchThatEndsIsResumed() throws Exception {
        try (PlatformTestBed testBed = new PlatformTestBed(PlatformTestBed::doNothing)) {
            Event.EndpointListUpdate cached = testBed.awaitEvent(Event.EndpointListUpdate.class, 1);
            assertEquals(EndpointListKind.CACHED, cached.kind());
            assertEquals(
                    new Event.EndpointEntry("s-1", 1, 1, 3, 1, 1.5, EndpointState.ACTIVE, 0),
                    cached.entries().get(0));
            Socket watch = testBed.discovery.nextConnection();
            assertTrue(receive(watch).startsWith("GET /v1/servers?watch=1&after=1 HTTP/1.1\r\n"));
            String all = WATCH_RESPONSE_HEAD
                    + chunk(testBed.listJson(3, false, "leaving", 1) + "\n\n")
                    + chunk(testBed.listJson(2, false, "active", 1) + "\n");
            // the node reads this byte before the rest arrives, so that it handles an incomplete status line
            send(watch, all.substring(0, 1));
            Socket healthClient = testBed.connectClient();
            // three responses on another connection show that the node has read the byte
            for (int i = 0; i < 3; i++) {
                getHealth(healthClient);
            }
            for (String character : characters(all.substring(1))) {
                send(watch, character);
            }
            assertEquals(
                    EndpointState.DRAINING,
                    testBed.awaitEvent(Event.EndpointListUpdate.class, 2)
                            .entries()
                            .get(0)
                            .state());
            watch.close();
            watch = testBed.discovery.nextConnection();
            assertTrue(receive(watch).startsWith("GET /v1/servers?watch=1&after=3 HTTP/1.1\r\n"));
            send(watch, WATCH_RESPONSE_HEAD + chunk(listJson(3, true) + "\n"));
            assertEquals(
                    EndpointListKind.SNAPSHOT,
                    testBed.awaitEvent(Event.EndpointListUpdate.class, 3).kind());
            // not an endpoint list: ends the watch without an event
            send(watch, chunk("{\"noise\":1}\n"));
            receive(testBed.discovery.nextConnection());
            assertEquals(3, testBed.eventsOf(Event.EndpointListUpdate.class).size());
        }
    }

    @Test
    void aListMaySpanLinesAndBeSplitAnywhere() throws Exception {
        try (PlatformTestBed testBed = new PlatformTestBed(PlatformTestBed::doNothing)) {
            Socket watch = testBed.acceptWatch();
            String indented = testBed.listJson(2, false, "leaving", 1)
                            .replace("{", "{\r\n  ")
                            .replace(",", ",\n  ")
                    + "\r\n"
                    + testBed.listJson(3, false, "active", 1).replace("\":", "\" :\n ");
            for (String character : characters(indented)) {
                send(watch, chunk(character));
            }
            assertEquals(
                    EndpointState.DRAINING,
                    testBed.awaitEvent(Event.EndpointListUpdate.class, 2)
                            .entries()
                            .get(0)
                            .state());
            assertEquals(
                    EndpointState.ACTIVE,
                    testBed.awaitEvent(Event.EndpointListUpdate.class, 3)
                            .entries()
                            .get(0)
                            .state());
            assertEquals(3, testBed.node.endpointListVersion());
        }
    }

    @Test
    void aMalformedListEndsTheWatchAndThePreviousListIsRetained() throws Exception {
        try (PlatformTestBed testBed = new PlatformTestBed(PlatformTestBed::doNothing)) {
            for (String malformed : List.of(
                    "[1]",
                    "7 ",
                    "{\"version\":9,\"full\":true,\"servers\":[}",
                    "{\"version\":9,\"full\":true}",
                    "{\"version\":9,\"full\":true,\"servers\":[{\"id\":\"s-9\"}]}",
                    "\1\2",
                    "{\"a\":\"" + "x".repeat(1 << 20))) {
                Socket watch = testBed.discovery.nextConnection();
                assertTrue(receive(watch).contains("after=1 "), "no part of the malformed list was applied");
                try {
                    send(watch, WATCH_RESPONSE_HEAD + chunk(malformed));
                } catch (IOException ignored) {
                    // the node closed the connection before all of the large object was sent
                }
            }
            testBed.discovery.nextConnection();
            assertEquals(1, testBed.eventsOf(Event.EndpointListUpdate.class).size());
        }
    }

    /** Guards against a whole list that is never applied because of its layout, so that drained endpoints stay in use. */
    @Test
    void theIndentedListOfTheLargestFleetIsApplied() throws Exception {
        try (PlatformTestBed testBed = new PlatformTestBed(PlatformTestBed::doNothing)) {
            String[] entries = new String[3_200];
            Arrays.setAll(entries, i -> testBed.entryJson("s-" + i, "leaving", 1, testBed.endpoint));
            String indented = listJson(2, true, entries).replace("{", "{\n\t\t").replace(",", ",\r\n" + " ".repeat(24));
            testBed.acceptWatch(indented);
            assertEquals(
                    entries.length,
                    testBed.awaitEvent(Event.EndpointListUpdate.class, 2)
                            .entries()
                            .size());
        }
    }

    /** Guards against a node that starts with an old list because it cannot read the list that discovery sends. */
    @Test
    void aNodeThatCannotReadDiscoverysListIsNotReady() throws Exception {
        TestClock clock = TestClock.running();
        try (PlatformTestBed testBed = new PlatformTestBed(1024, 5000, clock, PlatformTestBed::doNothing)) {
            Socket subscription = testBed.controlService.nextConnection();
            lineReader(subscription).readLine();
            send(subscription, "OK\r\n");
            Socket client = testBed.connectClient();
            // empty lines make each watch the current one before its list arrives
            String unreadable = "\n" + listJson(2, true, "{\"id\":\"s-1\"}") + "\n";
            for (int i = 0; i < 3; i++) {
                testBed.acceptWatch(unreadable);
            }
            Socket last = testBed.discovery.nextConnection();
            assertTrue(receive(last).contains("after=1 "));
            clock.advance(4 * Ticks.PER_SECOND);
            assertTrue(getHealth(client).startsWith("HTTP/1.1 503 "));
            assertTrue(getHealth(client).startsWith("HTTP/1.1 503 "));
            send(last, WATCH_RESPONSE_HEAD + chunk(testBed.listJson(2, true, "active", 1) + "\n"));
            testBed.awaitEvent(Event.EndpointListUpdate.class, 2);
            assertTrue(getHealth(client).startsWith("HTTP/1.1 200 "));
        }
    }

    /** A discovery instance that lags behind, or a delayed list, may list draining endpoints as active. */
    @Test
    void anOlderCompleteListIsRejectedUntilSuchListsHaveArrivedForSixSeconds() throws Exception {
        TestClock clock = TestClock.running();
        try (PlatformTestBed testBed = new PlatformTestBed(1024, 5000, clock, PlatformTestBed::doNothing)) {
            Socket watch = testBed.acceptWatch(testBed.listJson(5, false, "leaving", 1));
            testBed.awaitEvent(Event.EndpointListUpdate.class, 2);
            String old = chunk(testBed.listJson(4, true, "active", 1) + "\n");
            send(watch, old);
            Socket next = testBed.discovery.nextConnection();
            assertTrue(receive(next).contains("after=5 "));
            send(next, WATCH_RESPONSE_HEAD + old);
            next = testBed.discovery.nextConnection();
            receive(next);
            assertEquals(2, testBed.eventsOf(Event.EndpointListUpdate.class).size());
            // no newer list arrives within the maximum delay (6 s); another watch is opened beside the silent one
            clock.advance(61_000);
            Socket silent = next;
            next = testBed.discovery.nextConnection();
            receive(next);
            send(next, WATCH_RESPONSE_HEAD + old);
            assertEquals(
                    EndpointListKind.SNAPSHOT,
                    testBed.awaitEvent(Event.EndpointListUpdate.class, 3).kind());
            assertTrue(receive(silent).contains("<end>"));
        }
    }

    @Test
    void noConnectionIsReusedForAnEndpointThatReturnsWithAnotherBuild() throws Exception {
        try (PlatformTestBed testBed = new PlatformTestBed(PlatformTestBed::sendOnce)) {
            Socket watch = testBed.acceptWatch(testBed.listJson(2, false, "active", 1));
            testBed.awaitEvent(Event.EndpointListUpdate.class, 2);
            Socket client = testBed.connectClient();
            send(client, getRequest("1", ""));
            Socket endpointConnection = testBed.endpoint.nextConnection();
            receive(endpointConnection);
            send(endpointConnection, okResponse("old"));
            receive(client);
            send(watch, chunk(testBed.listJson(3, false, "active", 2) + "\n"));
            testBed.awaitEvent(Event.EndpointListUpdate.class, 3);
            assertTrue(receive(endpointConnection).contains("<end>"));
            send(client, getRequest("2", ""));
            receive(testBed.endpoint.nextConnection());
        }
    }

    /**
     * The platform treats a change as known to this node 6 s after it, even if the watch was silent. In this test the
     * third watch has opened 5.05 s after the last message of the first one.
     */
    @Test
    void aSecondSilentWatchLeavesTimeForAThird() throws Exception {
        TestClock clock = TestClock.stopped();
        try (PlatformTestBed testBed = new PlatformTestBed(1024, 5000, clock, PlatformTestBed::doNothing)) {
            Socket first = testBed.acceptWatch(testBed.listJson(2, false, "active", 1));
            testBed.awaitEvent(Event.EndpointListUpdate.class, 2);
            lineReader(testBed.controlService.nextConnection()).readLine();
            clock.advance(32_000);
            Socket second = testBed.discovery.nextConnection();
            receive(second);
            clock.advance(8_000);
            // the second watch is noticed to be stalled before its backoff begins
            getHealth(testBed.connectClient());
            clock.advance(10_500);
            Socket third = testBed.discovery.nextConnection();
            assertTrue(receive(third).contains("after=2 "));
            // bytes that never complete an object do not keep a further watch from being opened
            send(third, WATCH_RESPONSE_HEAD + chunk("{\"version\":"));
            clock.advance(40_000);
            getHealth(testBed.connectClient());
            clock.advance(10_500);
            Socket fourth = testBed.discovery.nextConnection();
            assertTrue(receive(fourth).contains("after=2 "));
            send(fourth, WATCH_RESPONSE_HEAD + chunk(testBed.listJson(3, false, "leaving", 1) + "\n"));
            testBed.awaitEvent(Event.EndpointListUpdate.class, 3);
            for (Socket replaced : List.of(first, second, third)) {
                assertTrue(receive(replaced).contains("<end>"));
            }
            // lets the drain complete
            clock.run();
        }
    }
}

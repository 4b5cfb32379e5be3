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
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import laurelkeel.api.Action;
import laurelkeel.api.Event;
import laurelkeel.api.Event.AttemptOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** One front node between clients and an endpoint whose bytes the test writes. */
class FrontNodeTest {
    private static final String OK =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nLaurelkeel-Load: concurrent=3, x=y\r\n\r\nhi";

    @TempDir
    Path directory;

    private FrontTestPeers peersThatSendOnce() throws IOException {
        return new FrontTestPeers(directory, "", FrontTestPeers::sendOnce);
    }

    /** Returns the outcome that the decider gets for an attempt if the endpoint sends a given response. */
    private AttemptOutcome outcome(String response, boolean reset) throws Exception {
        try (FrontTestPeers peers = peersThatSendOnce();
                Socket client = peers.connectClient()) {
            FrontTestPeers.send(client, FrontTestPeers.lookRequest(""));
            Socket endpoint = peers.nextEndpointConnection();
            FrontTestPeers.receive(endpoint);
            FrontTestPeers.send(endpoint, response);
            if (reset) {
                endpoint.setSoLinger(true, 0);
            }
            if (reset || response.isEmpty()) {
                endpoint.close();
            }
            Event.AttemptEnded attempt = peers.firstEvent(Event.AttemptEnded.class);
            assertEquals(attempt.outcome() == AttemptOutcome.COMPLETED, attempt.requestEnded());
            String answer = FrontTestPeers.receive(client);
            assertTrue(
                    answer.contains(
                            attempt.requestEnded() ? "Laurelkeel-Answer: completed" : "Laurelkeel-Answer: errored"),
                    answer);
            assertFalse(answer.contains("harmless"), answer);
            return attempt.outcome();
        }
    }

    @Test
    void outcomesDependOnTheResponseOfTheEndpoint() throws Exception {
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
    void aRefusedConnectionIsReportedAsConnectFailed() throws Exception {
        try (FrontTestPeers peers = peersThatSendOnce();
                Socket client = peers.connectClient()) {
            peers.endpointServer.close();
            FrontTestPeers.send(client, FrontTestPeers.lookRequest(""));
            assertEquals(
                    AttemptOutcome.CONNECT_FAILED,
                    peers.firstEvent(Event.AttemptEnded.class).outcome());
            FrontTestPeers.receive(client);
        }
    }

    @Test
    void aReusedConnectionLostDuringARequestIsReportedAsLost() throws Exception {
        try (FrontTestPeers peers = peersThatSendOnce();
                Socket client = peers.connectClient()) {
            FrontTestPeers.send(client, FrontTestPeers.lookRequest(""));
            Socket endpoint = peers.nextEndpointConnection();
            FrontTestPeers.receive(endpoint);
            FrontTestPeers.send(endpoint, OK);
            assertTrue(FrontTestPeers.receive(client).endsWith("hi"));
            FrontTestPeers.send(client, FrontTestPeers.lookRequest(""));
            FrontTestPeers.receive(endpoint);
            endpoint.close();
            FrontTestRig.await(
                    "both attempts have ended",
                    () -> peers.events.stream()
                                    .filter(e -> e instanceof Event.AttemptEnded)
                                    .count()
                            == 2);
            Event.AttemptEnded attempt = (Event.AttemptEnded) peers.events.stream()
                    .filter(e -> e instanceof Event.AttemptEnded)
                    .toList()
                    .get(1);
            assertEquals(AttemptOutcome.CONNECTION_LOST, attempt.outcome());
            FrontTestPeers.receive(client);
            // the next request gets a new connection
            FrontTestPeers.send(client, FrontTestPeers.lookRequest(""));
            Socket newConnection = peers.nextEndpointConnection();
            FrontTestPeers.receive(newConnection);
            FrontTestPeers.send(newConnection, OK);
            assertTrue(FrontTestPeers.receive(client).endsWith("hi"));
        }
    }

    /**
     * The first request opens the connection that the second one uses, since the second one's short timeout should not
     * have to cover the connect.
     */
    @Test
    void anAttemptPastItsTimeoutEndsAndItsLateResponseIsDropped() throws Exception {
        Iterator<Long> timeoutsTicks = List.of(100_000L, 500L, 20_000L).iterator();
        try (FrontTestPeers peers = new FrontTestPeers(
                        directory,
                        "",
                        (self, e) -> e instanceof Event.RequestReceived request
                                ? List.of(new Action.SendAttempt(
                                        request.requestId(), self.endpointId(), timeoutsTicks.next()))
                                : e instanceof Event.AttemptEnded attempt && !attempt.requestEnded()
                                        ? List.of(new Action.RejectRequest(attempt.requestId(), 1230))
                                        : List.of());
                Socket client = peers.connectClient()) {
            FrontTestPeers.send(client, FrontTestPeers.lookRequest(""));
            Socket endpoint = peers.nextEndpointConnection();
            FrontTestPeers.receive(endpoint);
            FrontTestPeers.send(endpoint, OK);
            assertTrue(FrontTestPeers.receive(client).startsWith("HTTP/1.1 200 "));
            FrontTestPeers.send(client, FrontTestPeers.lookRequest(""));
            FrontTestPeers.receive(endpoint);
            String rejection = FrontTestPeers.receive(client);
            assertEquals(
                    List.of(AttemptOutcome.COMPLETED, AttemptOutcome.TIMED_OUT),
                    peers.events.stream()
                            .filter(Event.AttemptEnded.class::isInstance)
                            .map(ended -> ((Event.AttemptEnded) ended).outcome())
                            .toList());
            for (String header : List.of(
                    "HTTP/1.1 503",
                    "Laurelkeel-Answer: shed",
                    "Laurelkeel-Retry: harmless",
                    "Retry-After: 1\r",
                    "Laurelkeel-Retry-After-Ms: 123\r")) {
                assertTrue(rejection.contains(header), header + " in " + rejection);
            }
            try {
                FrontTestPeers.send(endpoint, OK);
            } catch (SocketException e) {
                // expected: the node has closed the connection
            }
            FrontTestPeers.send(client, FrontTestPeers.lookRequest(""));
            FrontTestPeers.receive(peers.nextEndpointConnection());
            assertTrue(
                    FrontTestPeers.receive(client).contains("shed"),
                    "a late response was forwarded to another request");
        }
    }

    @Test
    void aClientThatDisconnectsIsReportedAndItsAttemptIsCancelled() throws Exception {
        try (FrontTestPeers peers = new FrontTestPeers(
                directory,
                "",
                (self, e) -> e instanceof Event.ClientDisconnected disconnect
                        ? List.of(new Action.CancelAttempt(disconnect.requestId(), 0))
                        : e instanceof Event.RequestReceived request
                                ? List.of(new Action.SendAttempt(request.requestId(), self.endpointId(), 0))
                                : List.of())) {
            Socket client = peers.connectClient();
            FrontTestPeers.send(client, FrontTestPeers.lookRequest(""));
            Socket endpoint = peers.nextEndpointConnection();
            FrontTestPeers.receive(endpoint);
            client.close();
            peers.firstEvent(Event.ClientDisconnected.class);
            Event.AttemptEnded attempt = peers.firstEvent(Event.AttemptEnded.class);
            assertEquals(AttemptOutcome.CANCELLED, attempt.outcome());
            assertTrue(attempt.requestEnded());
            endpoint.setSoTimeout(10_000);
            assertEquals(-1, endpoint.getInputStream().read(), "the connection to the endpoint is still open");
        }
    }

    @Test
    void overdueRequestsAreFailedBeforeTheirDeadline() throws Exception {
        try (FrontTestPeers peers = new FrontTestPeers(directory, "", (self, e) -> List.of());
                Socket client = peers.connectClient()) {
            FrontTestPeers.send(client, FrontTestPeers.lookRequest("Laurelkeel-Remaining-Ms: 200\r\n"));
            String answer = FrontTestPeers.receive(client);
            assertTrue(answer.startsWith("HTTP/1.1 504") && answer.contains("errored"), answer);
            peers.firstEvent(Event.ClientDisconnected.class);
        }
    }

    @Test
    void onlyTheFirstOfSeveralAnswersReachesTheClient() throws Exception {
        try (FrontTestPeers peers = new FrontTestPeers(
                        directory,
                        "",
                        (self, e) -> e instanceof Event.RequestReceived request
                                ? List.of(
                                        new Action.SendAttempt(request.requestId(), self.endpointId(), 0),
                                        new Action.FailRequest(request.requestId()),
                                        new Action.RejectRequest(request.requestId(), 0),
                                        new Action.FailRequest("nobody"),
                                        new Action.SendAttempt(request.requestId(), self.endpointId(), 0))
                                : List.of());
                Socket client = peers.connectClient()) {
            FrontTestPeers.send(client, FrontTestPeers.lookRequest(""));
            assertTrue(FrontTestPeers.receive(client).startsWith("HTTP/1.1 502"));
            assertEquals(
                    AttemptOutcome.NOT_SENT,
                    peers.firstEvent(Event.AttemptEnded.class).outcome());
            FrontTestPeers.send(client, "GET /nowhere HTTP/1.1\r\nHost: f\r\n\r\n");
            assertTrue(FrontTestPeers.receive(client).startsWith("HTTP/1.1 404"), "bytes of a second answer were sent");
        }
    }

    @Test
    void aDeciderThatThrowsEndsTheNodeAndFailsAllActiveRequests() throws Exception {
        FrontTestPeers peers = new FrontTestPeers(directory, "", (self, e) -> {
            if (e instanceof Event.RequestReceived request && request.partitionKey() != null) {
                throw new IllegalStateException("thrown by the test");
            }
            return FrontTestPeers.sendOnce(self, e);
        });
        Socket first = peers.connectClient();
        FrontTestPeers.send(first, FrontTestPeers.lookRequest(""));
        FrontTestPeers.receive(peers.nextEndpointConnection());
        Socket second = peers.connectClient();
        FrontTestPeers.send(second, FrontTestPeers.lookRequest("Laurelkeel-Key: k\r\n"));
        assertTrue(FrontTestPeers.receive(first).startsWith("HTTP/1.1 502"));
        assertTrue(FrontTestPeers.receive(second).startsWith("HTTP/1.1 502"));
        assertEquals("thrown by the test", peers.front.termination().get().getMessage());
        peers.close();
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        try (FrontTestPeers peers = peersThatSendOnce();
                Socket client = peers.connectClient()) {
            FrontTestPeers.send(
                    client,
                    "POST /pay/1 HTTP/1.1\r\nHost: f\r\nIdempotency-Key: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + "3\r\nabc\r\n0\r\n\r\n" + FrontTestPeers.lookRequest("X: 2\r\n")
                            + "GET /pay HTTP/1.1\r\nHost: f\r\n\r\n"
                            + FrontTestPeers.lookRequest("X: 4\r\n") + "rubbish\r\n");
            Socket endpoint = peers.nextEndpointConnection();
            String first = FrontTestPeers.receive(endpoint);
            assertTrue(first.endsWith("abc") && first.contains("Content-Length: 3"), first);
            assertFalse(first.toLowerCase(Locale.ROOT).contains("transfer-encoding"), first);
            FrontTestPeers.send(endpoint, OK);
            assertTrue(FrontTestPeers.receive(client).endsWith("hi"));
            assertTrue(FrontTestPeers.receive(endpoint).contains("X: 2"));
            FrontTestPeers.send(
                    endpoint, "HTTP/1.1 201 Made\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nyo\r\n0\r\n\r\n");
            assertTrue(FrontTestPeers.receive(client).endsWith("yo"));
            String methodNotAllowed = FrontTestPeers.receive(client);
            assertTrue(
                    methodNotAllowed.startsWith("HTTP/1.1 405") && methodNotAllowed.contains("Allow: POST"),
                    methodNotAllowed);
            assertTrue(FrontTestPeers.receive(endpoint).contains("X: 4"));
            FrontTestPeers.send(endpoint, OK);
            assertTrue(FrontTestPeers.receive(client).endsWith("hi"));
            assertTrue(FrontTestPeers.receive(client).startsWith("HTTP/1.1 400"));
            assertEquals(-1, client.getInputStream().read(), "the connection is still open after a malformed request");
        }
    }

    @Test
    void invalidHeadersGetA400ThatNamesThemAndTheConnectionStaysOpen() throws Exception {
        try (FrontTestPeers peers =
                        new FrontTestPeers(directory, "[customer mill]\nquota = 5\n", FrontTestPeers::sendOnce);
                Socket client = peers.connectClient()) {
            String tenantHeader = "Laurelkeel-Customer: mill\r\n";
            for (String[] requestAndError : new String[][] {
                {FrontTestPeers.lookRequest(""), "Laurelkeel-Customer"},
                {FrontTestPeers.lookRequest("Laurelkeel-Customer: nobody\r\n"), "Laurelkeel-Customer"},
                {
                    FrontTestPeers.lookRequest(tenantHeader + "Laurelkeel-Remaining-Ms: soon\r\n"),
                    "number of milliseconds"
                },
                {FrontTestPeers.lookRequest(tenantHeader + "Laurelkeel-Key: \r\n"), "1 to 256"},
                {"POST /pay HTTP/1.1\r\nHost: f\r\n" + tenantHeader + "Content-Length: 0\r\n\r\n", "Idempotency-Key"}
            }) {
                FrontTestPeers.send(client, requestAndError[0]);
                String answer = FrontTestPeers.receive(client);
                assertTrue(answer.startsWith("HTTP/1.1 400") && answer.contains(requestAndError[1]), answer);
            }
            assertTrue(peers.events.stream().noneMatch(e -> e instanceof Event.RequestReceived));
        }
    }

    @Test
    void aNodeAtCapacityRejectsWithoutADecision() throws Exception {
        try (FrontTestPeers peers =
                new FrontTestPeers(directory, "[clients]\nopen-reqs = 2\nconnections = 4\n", (self, e) -> List.of())) {
            for (int i = 0; i < 2; i++) {
                FrontTestPeers.send(peers.connectClient(), FrontTestPeers.lookRequest(""));
            }
            FrontTestRig.await(
                    "two active requests",
                    () -> peers.events.stream()
                                    .filter(e -> e instanceof Event.RequestReceived)
                                    .count()
                            == 2);
            Socket third = peers.connectClient();
            FrontTestPeers.send(third, FrontTestPeers.lookRequest(""));
            String answer = FrontTestPeers.receive(third);
            assertTrue(
                    answer.contains("harmless") && answer.contains("Laurelkeel-Taken: no") && answer.contains("full"),
                    answer);
            // receiving its answer ensures that its connection is counted before the next one is opened
            Socket fourth = peers.connectClient();
            FrontTestPeers.send(fourth, FrontTestPeers.lookRequest(""));
            FrontTestPeers.receive(fourth);
            assertTrue(FrontTestPeers.receive(peers.connectClient()).contains("every connection is in use"));
        }
    }

    @Test
    void aResponseLargerThanAnyBufferReachesASlowClientWhole() throws Exception {
        try (FrontTestPeers peers = peersThatSendOnce();
                Socket client = peers.connectClient()) {
            client.setReceiveBufferSize(16 << 10);
            FrontTestPeers.send(client, FrontTestPeers.lookRequest(""));
            Socket endpoint = peers.nextEndpointConnection();
            FrontTestPeers.receive(endpoint);
            String body = "x".repeat(400 << 10);
            FrontTestPeers.send(endpoint, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            peers.firstEvent(Event.AttemptEnded.class);
            assertTrue(FrontTestPeers.receive(client).endsWith("\r\n\r\n" + body));
        }
    }

    @Test
    void healthChecksClosingOfIdleConnectionsAndComplaintsWork() throws Exception {
        String[] reference = new String[1];
        try (FrontTestPeers peers = new FrontTestPeers(directory, "", (self, e) -> {
                    List<Action> out = new ArrayList<>(FrontTestPeers.sendOnce(self, e));
                    if (e instanceof Event.AttemptEnded attempt) {
                        out.add(new Action.CloseIdleConnections(attempt.endpointId()));
                        out.add(new Action.WriteLog("closing idle connections"));
                    } else if (e instanceof Event.ComplaintReceived) {
                        out.add(new Action.SendHealthCheck(self.endpointId()));
                    }
                    return out;
                });
                Socket client = peers.connectClient()) {
            FrontTestPeers.send(client, FrontTestPeers.lookRequest(""));
            Socket endpoint = peers.nextEndpointConnection();
            FrontTestPeers.receive(endpoint);
            FrontTestPeers.send(endpoint, OK);
            String answer = FrontTestPeers.receive(client);
            reference[0] = answer.replaceAll("(?s).*Laurelkeel-Ref: (\\S+).*", "$1");
            assertEquals(
                    3.0, peers.firstEvent(Event.AttemptEnded.class).loadReport().concurrentRequests());
            assertFalse(answer.contains("Laurelkeel-Load"), "the endpoint's load report was forwarded to the client");
            assertEquals(-1, endpoint.getInputStream().read(), "the idle connection is still open");
            String complaint = "POST /.laurelkeel/complaints HTTP/1.1\r\nHost: f\r\nContent-Length: "
                    + reference[0].length() + "\r\n\r\n" + reference[0];
            FrontTestPeers.send(client, complaint + complaint);
            assertTrue(FrontTestPeers.receive(client).startsWith("HTTP/1.1 202"));
            assertTrue(
                    FrontTestPeers.receive(client).startsWith("HTTP/1.1 404"),
                    "a second complaint about the same response is rejected");
            assertEquals(
                    peers.endpointId(),
                    peers.firstEvent(Event.ComplaintReceived.class).endpointId());
            Socket probe = peers.nextEndpointConnection();
            assertTrue(FrontTestPeers.receive(probe).startsWith("GET /health"));
            FrontTestPeers.send(probe, OK);
            Event.HealthCheckEnded healthCheck = peers.firstEvent(Event.HealthCheckEnded.class);
            assertEquals(AttemptOutcome.COMPLETED, healthCheck.outcome());
            assertEquals(3.0, healthCheck.loadReport().concurrentRequests());
        }
    }

    @Test
    void manySimultaneousConnectionsAreAcceptedAndReleased() throws Exception {
        try (FrontTestPeers peers = new FrontTestPeers(
                directory,
                "",
                (self, e) -> e instanceof Event.RequestReceived request
                        ? List.of(new Action.RejectRequest(request.requestId(), 0))
                        : List.of())) {
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < 5000; i++) {
                clients.add(peers.connectClient());
            }
            for (Socket socket : clients) {
                FrontTestPeers.send(socket, FrontTestPeers.lookRequest(""));
            }
            for (Socket socket : clients) {
                assertTrue(FrontTestPeers.receive(socket).contains("shed"));
                socket.close();
            }
            assertNotNull(peers.firstEvent(Event.RequestReceived.class));
        }
    }
}

package laurelkeel.platform;

import static laurelkeel.platform.PlatformTestBed.getRequest;
import static laurelkeel.platform.PlatformTestBed.okResponse;
import static laurelkeel.platform.PlatformTestBed.receive;
import static laurelkeel.platform.PlatformTestBed.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.List;
import laurelkeel.api.Action;
import laurelkeel.api.Event;
import laurelkeel.api.Event.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** The platform's HTTP protocol on a node's sockets: the messages that clients and endpoints send and receive. */
class PlatformProtocolTest {
    /** The bytes that an endpoint sends before it closes the connection, and the expected outcome of the attempt. */
    private record ResponseCase(String response, AttemptOutcome outcome) {}

    @Test
    void aRequestIsForwardedByteForByteAndItsResponseIsReturned() throws Exception {
        try (PlatformTestBed testBed = new PlatformTestBed(PlatformTestBed::sendOnce)) {
            Socket client = testBed.connectClient();
            send(
                    client,
                    "POST /pay/x%20y?q=1 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: 9b1f\r\nX-Account: acme\r\n"
                            + "X-Session-Key: k\r\nX-Time-Left: 0.480\r\nIdempotency-Key: m1\r\nContent-Length: 3\r\n\r\na\0b");
            Socket endpointConnection = testBed.endpoint.nextConnection();
            String received = receive(endpointConnection);
            assertTrue(received.startsWith("POST /pay/x%20y?q=1 HTTP/1.1\r\n"), received);
            assertTrue(
                    received.contains("X-Correlation-Id: 9b1f\r\n") && received.contains("Idempotency-Key: m1\r\n"),
                    received);
            assertTrue(received.contains("X-Time-Left: 0.4") && received.endsWith("\r\n\r\na\0b"), received);
            send(endpointConnection, "HTTP/1.1 100 Continue\r\n\r\n" + okResponse("pa\0id"));
            String answer = receive(client);
            assertTrue(answer.startsWith("HTTP/1.1 200 ") && answer.endsWith("\r\n\r\npa\0id"), answer);
            Event.RequestReceived request = testBed.awaitEvent(Event.RequestReceived.class, 1);
            assertEquals(List.of(1, 0, "k"), List.of(request.route(), request.tenant(), request.partitionKey()));
        }
    }

    @Test
    void eachEndpointResponseIsMappedToItsOutcome() throws Exception {
        List<ResponseCase> cases = List.of(
                new ResponseCase("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", AttemptOutcome.FAILED),
                new ResponseCase(
                        "HTTP/1.1 503 F\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", AttemptOutcome.OVERLOADED),
                new ResponseCase(
                        "HTTP/1.1 504 F\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", AttemptOutcome.OVERLOADED),
                new ResponseCase("HTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\n", AttemptOutcome.FAILED),
                new ResponseCase("noise\r\n\r\n", AttemptOutcome.CONNECTION_LOST),
                new ResponseCase(
                        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", AttemptOutcome.CONNECTION_LOST),
                new ResponseCase("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", AttemptOutcome.CONNECTION_LOST),
                new ResponseCase("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", AttemptOutcome.CONNECTION_LOST),
                new ResponseCase("HTTP/1.1 200 OK\r\n\r\n", AttemptOutcome.CONNECTION_LOST),
                new ResponseCase("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\nbody", AttemptOutcome.FAILED),
                new ResponseCase(
                        "HTTP/1.1 503 F\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\nbody",
                        AttemptOutcome.OVERLOADED),
                new ResponseCase("", AttemptOutcome.CONNECTION_LOST),
                new ResponseCase("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", AttemptOutcome.CONNECTION_LOST));
        try (PlatformTestBed testBed = new PlatformTestBed(PlatformTestBed::sendOnce)) {
            Socket client = testBed.connectClient();
            for (int i = 0; i < cases.size(); i++) {
                send(client, getRequest("id-" + i, ""));
                Socket endpointConnection = testBed.endpoint.nextConnection();
                receive(endpointConnection);
                send(endpointConnection, cases.get(i).response());
                endpointConnection.close();
                assertEquals(
                        cases.get(i).outcome(),
                        testBed.awaitEvent(Event.AttemptEnded.class, i + 1).outcome(),
                        cases.get(i).response());
                assertTrue(receive(client).startsWith("HTTP/1.1 502 "));
            }
            testBed.endpoint.close();
            send(client, getRequest("last", ""));
            assertEquals(
                    AttemptOutcome.CONNECT_FAILED,
                    testBed.awaitEvent(Event.AttemptEnded.class, cases.size() + 1)
                            .outcome());
        }
    }

    @Test
    void aRejectionCarriesRetryAfterAndAFailureDoesNot() throws Exception {
        try (PlatformTestBed testBed =
                new PlatformTestBed((ignored, event) -> event instanceof Event.RequestReceived request
                        ? List.of(
                                request.requestId().endsWith("0")
                                        ? new Action.RejectRequest(request.requestId(), 5_000)
                                        : new Action.FailRequest(request.requestId()))
                        : List.of())) {
            Socket client = testBed.connectClient();
            send(client, getRequest("a", ""));
            String rejected = receive(client);
            assertTrue(rejected.startsWith("HTTP/1.1 503 ") && rejected.contains("Retry-After: 0.500\r\n"), rejected);
            send(client, getRequest("b", ""));
            String failed = receive(client);
            assertTrue(failed.startsWith("HTTP/1.1 502 ") && !failed.contains("Retry-After"), failed);
        }
    }

    @Test
    void anInvalidRequestIsRejectedAndNeverForwarded() throws Exception {
        String valid = getRequest("x", "");
        String[] invalidRequests = {
            valid.replace("/look", "/nowhere"),
            valid.replace("GET", "POST"),
            valid.replace("X-Correlation-Id: x\r\n", ""),
            valid.replace("acme", "nobody"),
            valid.replace("4.5", "soon"),
            valid.replace("4.5", "NaN"),
            valid.replace("4.5", "-1"),
            valid.replace("4.5", "1e999"),
            getRequest("x", "Content-Length: 2\r\n") + "ab",
            getRequest("x", "Content-Length: -2\r\n"),
            getRequest("x", "Content-Length: 60000000\r\n"),
            getRequest("x", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n" + valid,
            valid.replace("\r\n", "\n"),
            getRequest("x", "Folded: a\r\n b\r\n"),
            "\0\1\2\r\n\r\n",
            "POST /pay HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: x\r\nX-Account: acme\r\nX-Time-Left: 1\r\n\r\n"
        };
        try (PlatformTestBed testBed = new PlatformTestBed(PlatformTestBed::sendOnce)) {
            for (String invalid : invalidRequests) {
                Socket client = testBed.connectClient();
                send(client, invalid);
                String answer = receive(client);
                assertTrue(answer.startsWith("HTTP/1.1 4"), invalid + " got " + answer);
            }
            assertTrue(testBed.eventsOf(Event.RequestReceived.class).isEmpty());
            assertTrue(testBed.endpoint.connections.isEmpty());
        }
    }

    /** Guards against a request being run with a part of its body because it states a length that is too short. */
    @Test
    void aRequestThatGoesOnBehindItsEndIsRejectedAndNeverForwarded() throws Exception {
        String head = "POST /pay HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: x\r\nX-Account: acme\r\nX-Time-Left: 1\r\n"
                + "Idempotency-Key: m1\r\n";
        List<String> requests = List.of(
                head + "Content-Length: 4\r\n\r\nabcdefgh",
                head + "Content-Length: 4\r\n\r\nabcd\r\n{}",
                head + "\r\n{\"amount\":1}",
                head + "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n4\r\nefgh\r\n0\r\n\r\n");
        try (PlatformTestBed testBed = new PlatformTestBed(PlatformTestBed::sendOnce)) {
            for (String request : requests) {
                Socket client = testBed.connectClient();
                send(client, request);
                String answer = receive(client);
                assertTrue(answer.startsWith("HTTP/1.1 400 "), request + " got " + answer);
                assertTrue(receive(client).contains("<end>"));
            }
            assertTrue(testBed.eventsOf(Event.RequestReceived.class).isEmpty());
            assertTrue(testBed.endpoint.connections.isEmpty());
        }
    }

    @Test
    void aRequestIdThatIsInUseIsRejected() throws Exception {
        try (PlatformTestBed testBed = new PlatformTestBed(PlatformTestBed::sendOnce)) {
            Socket first = testBed.connectClient();
            Socket second = testBed.connectClient();
            send(first, getRequest("same", ""));
            Socket endpointConnection = testBed.endpoint.nextConnection();
            receive(endpointConnection);
            send(second, getRequest("same", ""));
            assertTrue(receive(second).startsWith("HTTP/1.1 409 "));
            send(endpointConnection, okResponse("mine"));
            assertTrue(receive(first).endsWith("mine"));
            assertEquals(1, testBed.eventsOf(Event.RequestReceived.class).size());
        }
    }

    /** Guards against two responses that are read together being used for two requests. */
    @Test
    void aSecondCopyOfAResponseIsNeverUsedForTheNextRequest() throws Exception {
        for (String copy : List.of(okResponse("first"), "HTTP/1.1 200", "HTTP/1.1")) {
            assertNextRequestUsesOtherConnection(okResponse("first") + copy, true);
        }
    }

    /** Guards against a part of a body being served because its response states a length that is too short. */
    @Test
    void aResponseThatGoesOnBehindItsEndIsNeitherServedNorUsedForTheNextRequest() throws Exception {
        for (String surplus :
                List.of("-whole", "noise", "\r\n", "HTTP", "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n")) {
            assertNextRequestUsesOtherConnection(okResponse("first") + surplus, false);
        }
    }

    /** Guards against 200 without a body being served, since the body may follow in a later read. */
    @Test
    void aResponseWithoutABodyIsNotServedWhateverFollows() throws Exception {
        try (PlatformTestBed testBed = new PlatformTestBed(PlatformTestBed::sendOnce)) {
            Socket client = testBed.connectClient();
            send(client, getRequest("1", ""));
            Socket endpointConnection = testBed.endpoint.nextConnection();
            receive(endpointConnection);
            send(endpointConnection, okResponse(""));
            assertTrue(receive(client).startsWith("HTTP/1.1 502 "));
            assertTrue(receive(endpointConnection).contains("<end>"));
        }
    }

    /** Checks the answer to a request whose response is followed by surplus bytes, and that they are never used. */
    private static void assertNextRequestUsesOtherConnection(String response, boolean served) throws Exception {
        try (PlatformTestBed testBed = new PlatformTestBed(PlatformTestBed::sendOnce)) {
            Socket client = testBed.connectClient();
            send(client, getRequest("1", ""));
            Socket endpointConnection = testBed.endpoint.nextConnection();
            receive(endpointConnection);
            send(endpointConnection, response);
            String answer = receive(client);
            assertTrue(answer.startsWith(served ? "HTTP/1.1 200 " : "HTTP/1.1 502 "), response + " got " + answer);
            assertEquals(served, answer.contains("first"), response + " got " + answer);
            assertEquals(
                    served ? AttemptOutcome.COMPLETED : AttemptOutcome.CONNECTION_LOST,
                    testBed.awaitEvent(Event.AttemptEnded.class, 1).outcome(),
                    response);
            send(client, getRequest("2", ""));
            Socket other = testBed.endpoint.nextConnection();
            receive(other);
            send(other, okResponse("second"));
            assertTrue(receive(client).endsWith("second"), response);
            assertTrue(receive(endpointConnection).contains("<end>"));
        }
    }

    @Test
    void aResponseTruncatedAtAnyByteIsIncomplete() throws Exception {
        String whole = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
        try (PlatformTestBed testBed = new PlatformTestBed(PlatformTestBed::sendOnce)) {
            Socket client = testBed.connectClient();
            for (int truncatedLength = 0; truncatedLength <= whole.length(); truncatedLength++) {
                send(client, getRequest("cut-" + truncatedLength, ""));
                Socket endpointConnection = testBed.endpoint.nextConnection();
                receive(endpointConnection);
                send(endpointConnection, whole.substring(0, truncatedLength));
                endpointConnection.close();
                String answer = receive(client);
                assertEquals(
                        truncatedLength == whole.length(),
                        answer.startsWith("HTTP/1.1 200 "),
                        truncatedLength + ": " + answer);
                testBed.awaitEvent(Event.AttemptEnded.class, truncatedLength + 1);
            }
        }
    }
}

package laurelkeel.front.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.wire.ByteBudget;
import laurelkeel.wire.ForwardedMessage;
import laurelkeel.wire.Headers;
import laurelkeel.wire.HttpLimits;
import laurelkeel.wire.HttpProtocolException;
import laurelkeel.wire.HttpRequest;
import laurelkeel.wire.HttpResponse;
import org.apache.mina.core.session.DummySession;
import org.junit.jupiter.api.Test;

class RequestPipelineTest {
    private static final int MAX_OPEN_REQUESTS = 2;
    private static final byte[] BODY = new byte[7];

    private final Listener listener = new Listener();
    private final Protocol protocol = new Protocol();
    private final EarlyRejections rejections = new EarlyRejections(protocol);
    /** Nothing is reserved here, so that it counts what is released below 0. */
    private final ByteBudget budget = new ByteBudget(0);

    private final RequestPipeline pipeline = new RequestPipeline(
            new IngressSettings(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    HttpLimits.DEFAULT,
                    10,
                    0,
                    MAX_OPEN_REQUESTS,
                    100,
                    16,
                    1_000,
                    1_000,
                    1,
                    1_000,
                    0,
                    0,
                    0,
                    0),
            protocol,
            new EventLoop(() -> 0),
            listener,
            rejections,
            budget);
    private final ClientConnection connection = new ClientConnection(new DummySession(), 16, 0);

    private static final class Listener implements IngressListener {
        private final List<String> events = new ArrayList<>();
        private int activeRequests;
        private boolean draining;

        @Override
        public void onRequest(ClientConnection connection, ClientRequest request, long arrivedTicks) {
            connection.setCurrentToken(request.clientRequestId());
            events.add(request.clientRequestId() + " arrived at " + arrivedTicks);
        }

        @Override
        public void onNodeRequest(ClientConnection connection, HttpRequest request) {
            events.add("node request " + request.target());
        }

        @Override
        public void onDisconnect(Object current) {
            events.add("disconnected under " + current);
        }

        @Override
        public int activeRequests() {
            return activeRequests;
        }

        @Override
        public boolean isClosingConnections() {
            return draining;
        }

        @Override
        public boolean hasEnded() {
            return false;
        }
    }

    private static final class Protocol implements ClientProtocol {
        private final List<String> rejections = new ArrayList<>();

        @Override
        public boolean isNodeRequest(HttpRequest request) {
            return false;
        }

        @Override
        public ClientRequest parseRequest(HttpRequest request) {
            throw new AssertionError("requests are interpreted before they are queued");
        }

        @Override
        public HttpResponse badRequest(HttpProtocolException failure, HttpRequest request) {
            return new HttpResponse(failure.status(), new Headers(), new byte[0]);
        }

        @Override
        public HttpResponse notAccepted(String reason) {
            rejections.add(reason);
            return new HttpResponse(503, new Headers(), new byte[0]);
        }

        @Override
        public HttpResponse rejected(long retryAfterTicks, String reason) {
            return notAccepted(reason);
        }

        @Override
        public HttpResponse failed(boolean timedOut, String reason) {
            return new HttpResponse(502, new Headers(), new byte[0]);
        }
    }

    private void receive(String id) {
        connection.requestRead();
        pipeline.received(connection, routed(id));
    }

    private static PipelinedMessage routed(String id) {
        ClientRequest request =
                new ClientRequest(id, new ForwardedMessage(new byte[0], BODY), false, false, 0, 0, null, 100, 0, false);
        return new PipelinedMessage.RoutedRequest(request, 5);
    }

    @Test
    void aRequestBeginsOnceTheOneBeforeItOnItsConnectionIsDone() {
        receive("a");
        receive("b");
        assertEquals(List.of("a arrived at 5"), listener.events);
        connection.setRequestInProgress(false);
        pipeline.startNext(connection);
        assertEquals(List.of("a arrived at 5", "b arrived at 5"), listener.events);
        assertTrue(connection.isRequestInProgress());
    }

    @Test
    void requestsAreRejectedWhileTooManyAreInFlight() {
        listener.activeRequests = MAX_OPEN_REQUESTS;
        receive("a");
        receive("b");
        assertEquals(List.of(), listener.events);
        assertEquals(List.of("this front is full", "this front is full"), protocol.rejections);
        assertEquals(2, rejections.count());
        assertEquals(0, connection.unansweredRequests());
        assertEquals(-2L * BODY.length, budget.reservedBytes(), "both bodies are released");
    }

    @Test
    void aDrainingNodeRejectsARequestAndClosesItsConnection() {
        listener.draining = true;
        receive("a");
        receive("b");
        assertEquals(List.of("this front is stopping"), protocol.rejections);
        assertTrue(connection.discardsInput());
        assertTrue(connection.isClosing());
        assertEquals(-2L * BODY.length, budget.reservedBytes());
    }

    @Test
    void aConnectionThatClosesDiscardsWhatWaitsAndReportsTheRequestInProgress() {
        receive("a");
        receive("b");
        pipeline.connectionClosed(connection);
        assertEquals(List.of("a arrived at 5", "disconnected under a"), listener.events);
        assertEquals(-BODY.length, budget.reservedBytes(), "the body of b; that of a is the listener's");
        receive("c");
        assertEquals(-2L * BODY.length, budget.reservedBytes());
    }

    @Test
    void allRequestsOfAClientThatHasLeftAreAnsweredAndNoneIsBegun() {
        receive("a");
        receive("b");
        pipeline.clientClosedOutput(connection);
        assertEquals(List.of("a arrived at 5", "disconnected under a"), listener.events);
        assertEquals(List.of("its client ended the connection"), protocol.rejections);
        assertEquals(0, connection.unansweredRequests());
        assertEquals(0, rejections.count(), "it was not rejected for lack of capacity");
        assertFalse(connection.hasWaiting());
        assertTrue(connection.isClosed());
    }
}

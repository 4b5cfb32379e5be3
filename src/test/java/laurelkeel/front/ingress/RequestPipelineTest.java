package laurelkeel.front.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.wire.ByteBudget;
import laurelkeel.wire.ForwardedMessage;
import laurelkeel.wire.HttpLimits;
import laurelkeel.wire.HttpRequest;
import org.apache.mina.core.session.DummySession;
import org.junit.jupiter.api.Test;

class RequestPipelineTest {
    private static final int MAX_OPEN_REQUESTS = 2;
    private static final byte[] BODY = new byte[7];

    private final RecordingListener listener = new RecordingListener();
    private final StubClientProtocol protocol = new StubClientProtocol(false);
    private final EarlyRejections rejections = new EarlyRejections(protocol);
    /** The tests reserve nothing, so that released bytes show as a negative reservation. */
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
                    0,
                    0),
            protocol,
            new EventLoop(() -> 0),
            listener,
            rejections,
            budget);
    private final ClientConnection connection = new ClientConnection(new DummySession(), 16, new ByteBudget(0), 0);

    private static final class RecordingListener implements IngressListener {
        private final List<String> events = new ArrayList<>();
        private int activeRequests;
        private boolean closingConnections;

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
        public void onDisconnect(Object token) {
            events.add("disconnected: " + token);
        }

        @Override
        public int activeRequests() {
            return activeRequests;
        }

        @Override
        public boolean isClosingConnections() {
            return closingConnections;
        }

        @Override
        public boolean hasEnded() {
            return false;
        }
    }

    private void receive(String id) {
        connection.input().requestDecoded();
        pipeline.received(connection, routed(id));
    }

    private static PipelinedMessage routed(String id) {
        ClientRequest request =
                new ClientRequest(id, new ForwardedMessage(new byte[0], BODY), false, false, 0, 0, null, 100, 0, false);
        return new PipelinedMessage.RoutedRequest(request, 5);
    }

    @Test
    void requestStartsWhenThePreviousOneOnItsConnectionIsDone() {
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
        assertEquals(List.of("this front is full", "this front is full"), protocol.rejectionReasons);
        assertEquals(2, rejections.count());
        assertEquals(0, connection.input().unansweredRequests());
        assertEquals(-2L * BODY.length, budget.reservedBytes(), "both bodies are released");
    }

    @Test
    void stoppingNodeRejectsRequestAndClosesItsConnection() {
        listener.closingConnections = true;
        receive("a");
        receive("b");
        assertEquals(List.of("this front is stopping"), protocol.rejectionReasons);
        assertTrue(connection.discardsInput());
        assertTrue(connection.isClosing());
        assertEquals(-2L * BODY.length, budget.reservedBytes());
    }

    @Test
    void closedConnectionDiscardsQueuedRequestsAndReportsTheOneInProgress() {
        receive("a");
        receive("b");
        pipeline.connectionClosed(connection);
        assertEquals(List.of("a arrived at 5", "disconnected: a"), listener.events);
        assertEquals(-BODY.length, budget.reservedBytes(), "the body of b; the listener releases that of a");
        receive("c");
        assertEquals(-2L * BODY.length, budget.reservedBytes());
    }

    @Test
    void requestsOfClientThatClosedItsOutputAreAnsweredAndNoneIsStarted() {
        receive("a");
        receive("b");
        connection.markClientEnded();
        pipeline.clientClosedOutput(connection);
        assertEquals(List.of("a arrived at 5", "disconnected: a"), listener.events);
        assertEquals(List.of("its client ended the connection"), protocol.rejectionReasons);
        assertEquals(0, connection.input().unansweredRequests());
        assertEquals(0, rejections.count(), "it was not rejected for lack of capacity");
        assertNull(connection.pollWaiting());
        assertTrue(connection.isClosed());
    }
}

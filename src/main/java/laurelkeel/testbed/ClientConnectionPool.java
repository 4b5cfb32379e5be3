package laurelkeel.testbed;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.records.RecordClock;
import laurelkeel.wire.HttpCodec;
import laurelkeel.wire.HttpLimits;
import laurelkeel.wire.HttpResponse;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;

/** Persistent client connections to all nodes. Everything but the socket I/O happens on the loop's thread. */
final class ClientConnectionPool {
    private static final AttributeKey CONNECTION = new AttributeKey(ClientConnectionPool.class, "connection");
    private static final int IO_THREADS = 2;
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;

    /** Listener for the events of connections; called on the loop's thread. */
    interface Listener {
        /** Called when a complete response has arrived. */
        void responseReceived(GeneratorConnection connection, HttpResponse response, long receivedAtTicks);

        /** Called when bytes have arrived that are not an HTTP response. */
        void malformedResponseReceived(GeneratorConnection connection, Exception cause, long receivedAtTicks);

        /** Called when a connection has closed, from either side. */
        void connectionClosed(GeneratorConnection connection, long closedAtTicks);
    }

    private final EventLoop loop;
    private final List<InetSocketAddress> nodeAddresses;
    private final Listener listener;
    private final NioSocketConnector connector = new NioSocketConnector(IO_THREADS);
    private final List<ArrayDeque<GeneratorConnection>> idleByNode = new ArrayList<>();

    ClientConnectionPool(EventLoop loop, List<InetSocketAddress> nodeAddresses, Listener listener) {
        this.loop = loop;
        this.nodeAddresses = List.copyOf(nodeAddresses);
        this.listener = listener;
        for (int i = 0; i < nodeAddresses.size(); i++) {
            idleByNode.add(new ArrayDeque<>());
        }
        connector.setConnectTimeoutMillis(CONNECT_TIMEOUT_MILLIS);
        connector.getSessionConfig().setTcpNoDelay(true);
        connector.getFilterChain().addLast("http", HttpCodec.client(HttpLimits.DEFAULT));
        connector.setHandler(new SessionHandler());
    }

    int nodeCount() {
        return nodeAddresses.size();
    }

    /**
     * Provides a connection to a request's node: an idle one immediately, or else a new one.
     *
     * @param onFailed called if a new connection cannot be opened
     */
    void connect(GeneratedRequest request, Consumer<GeneratorConnection> onConnected, Runnable onFailed) {
        ArrayDeque<GeneratorConnection> idle = idleByNode.get(request.nodeIndex);
        for (GeneratorConnection candidate = idle.pollFirst(); candidate != null; candidate = idle.pollFirst()) {
            if (!candidate.session.isClosing()) {
                candidate.assign(request);
                onConnected.accept(candidate);
                return;
            }
        }
        connector
                .connect(nodeAddresses.get(request.nodeIndex))
                .addListener(future ->
                        loop.post(() -> connectEnded((ConnectFuture) future, request, onConnected, onFailed)));
    }

    private static void connectEnded(
            ConnectFuture future,
            GeneratedRequest request,
            Consumer<GeneratorConnection> onConnected,
            Runnable onFailed) {
        if (!future.isConnected() || !future.getSession().isConnected()) {
            onFailed.run();
            return;
        }
        GeneratorConnection connection = new GeneratorConnection(request.nodeIndex, future.getSession());
        connection.session.setAttribute(CONNECTION, connection);
        connection.assign(request);
        onConnected.accept(connection);
    }

    /** Returns a connection to the pool for later requests. */
    void release(GeneratorConnection connection) {
        idleByNode.get(connection.nodeIndex).addFirst(connection);
    }

    void close() {
        connector.dispose(false);
    }

    private final class SessionHandler extends IoHandlerAdapter {
        @Override
        public void messageReceived(IoSession session, Object message) {
            long receivedAtTicks = RecordClock.nowTicks();
            loop.post(() -> {
                if (session.getAttribute(CONNECTION) instanceof GeneratorConnection connection) {
                    if (message instanceof HttpResponse response) {
                        listener.responseReceived(connection, response, receivedAtTicks);
                    } else if (message instanceof Exception cause) {
                        listener.malformedResponseReceived(connection, cause, receivedAtTicks);
                        session.closeNow();
                    }
                }
            });
        }

        @Override
        public void sessionClosed(IoSession session) {
            long closedAtTicks = RecordClock.nowTicks();
            loop.post(() -> {
                if (session.getAttribute(CONNECTION) instanceof GeneratorConnection connection) {
                    idleByNode.get(connection.nodeIndex).remove(connection);
                    listener.connectionClosed(connection, closedAtTicks);
                }
            });
        }

        @Override
        public void inputClosed(IoSession session) {
            session.closeNow();
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            session.closeNow();
        }
    }
}

package laurelkeel.platform;

import java.net.InetSocketAddress;
import java.util.concurrent.Executor;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.upstream.ConnectAttempt;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Opens connections to the platform's services.
 *
 * <p>Called on the event loop's thread. Events are also delivered on that thread, with priority over request traffic.
 */
final class ServiceConnector {
    private static final Logger LOG = LoggerFactory.getLogger(ServiceConnector.class);
    private static final AttributeKey CONNECTION = new AttributeKey(ServiceConnector.class, "connection");

    private final EventLoop loop;
    private final NioSocketConnector connector;

    /** Creates a connector; opens no connection. */
    ServiceConnector(EventLoop loop, Executor socketThreads, SimpleIoProcessorPool<NioSession> processors) {
        this.loop = loop;
        connector = new NioSocketConnector(socketThreads, processors);
        connector.setConnectTimeoutMillis(ConnectAttempt.MINA_TIMEOUT_MS);
        connector.getSessionConfig().setTcpNoDelay(true);
        // MINA measures this timeout by the wall clock, which may be stepped; callers limit the wait for a response
        // themselves
        connector.getSessionConfig().setWriteTimeout(0);
        connector.setHandler(new SessionHandler());
    }

    /** Stops opening connections; open ones end by themselves or are closed by their users. */
    void close() {
        connector.dispose(false);
    }

    /**
     * Opens a connection.
     *
     * @param connectTimeoutTicks the longest wait for the connection to be established
     * @param initialBytes sent once the connection is established
     * @param listener also notified of every failure to connect, but never from within this call
     */
    ServiceConnection open(
            InetSocketAddress address, long connectTimeoutTicks, byte[] initialBytes, ConnectionListener listener) {
        ServiceConnection connection = new ServiceConnection(listener);
        try {
            connection.connecting(ConnectAttempt.start(
                    connector,
                    loop,
                    loop::postPriority,
                    connectTimeoutTicks,
                    address,
                    session -> session.setAttribute(CONNECTION, connection),
                    new ConnectListener(address, connection, initialBytes)));
        } catch (RuntimeException e) {
            LOG.warn("starting to connect to {} failed: {}", address, e.toString());
            loop.postPriority(() -> connection.onClosed(false));
        }
        return connection;
    }

    private static ServiceConnection connectionOf(IoSession session) {
        return (ServiceConnection) session.getAttribute(CONNECTION);
    }

    /** Notifies a connection of the result of connecting. */
    private static final class ConnectListener implements ConnectAttempt.Listener {
        private final InetSocketAddress address;
        private final ServiceConnection connection;
        private final byte[] initialBytes;

        ConnectListener(InetSocketAddress address, ServiceConnection connection, byte[] initialBytes) {
            this.address = address;
            this.connection = connection;
            this.initialBytes = initialBytes;
        }

        @Override
        public void connected(IoSession session) {
            connection.onConnected(session, initialBytes);
        }

        @Override
        public void failed(Throwable cause) {
            LOG.info("connecting to {} failed: {}", address, String.valueOf(cause));
            connection.onClosed(false);
        }

        @Override
        public void timedOut() {
            LOG.info("connecting to {} timed out", address);
            connection.onClosed(false);
        }
    }

    /** Posts socket events to the event loop; called on the socket threads. */
    private final class SessionHandler extends ConnectAttempt.Handler {
        @Override
        public void messageReceived(IoSession session, Object message) {
            IoBuffer buffer = (IoBuffer) message;
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            long arrivedAtTicks = loop.clockTicks();
            ServiceConnection connection = connectionOf(session);
            loop.postPriority(() -> connection.onBytes(bytes, arrivedAtTicks));
        }

        @Override
        public void sessionClosed(IoSession session) {
            ServiceConnection connection = connectionOf(session);
            boolean written = session.getWrittenBytes() > 0;
            loop.postPriority(() -> connection.onClosed(written));
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            LOG.info("the connection to {} failed: {}", session.getRemoteAddress(), String.valueOf(cause));
            session.closeNow();
        }
    }
}

package laurelkeel.platform;

import java.net.InetSocketAddress;
import java.util.concurrent.Executor;
import laurelkeel.api.Ticks;
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
 * <p>Called on the event loop's thread. What arrives is handed over on that thread as well, ahead of traffic.
 */
final class ServiceConnector {
    private static final Logger LOG = LoggerFactory.getLogger(ServiceConnector.class);
    private static final AttributeKey CONNECTION = new AttributeKey(ServiceConnector.class, "connection");
    private static final long CONNECT_TIMEOUT_TICKS = Ticks.PER_SECOND;

    private final EventLoop loop;
    private final NioSocketConnector connector;

    /** Opens nothing yet. */
    ServiceConnector(EventLoop loop, Executor socketThreads, SimpleIoProcessorPool<NioSession> processors) {
        this.loop = loop;
        connector = new NioSocketConnector(socketThreads, processors);
        connector.setConnectTimeoutMillis(ConnectAttempt.MINA_TIMEOUT_MS);
        connector.getSessionConfig().setTcpNoDelay(true);
        // MINA measures it by the wall clock, which may be stepped; who awaits an answer limits the wait
        connector.getSessionConfig().setWriteTimeout(0);
        connector.setHandler(new SessionHandler());
    }

    /** Opens no further connections; those that are open end on their own or are closed by their users. */
    void close() {
        connector.dispose(false);
    }

    /**
     * Opens a connection.
     *
     * @param opening sent once it is established
     * @param listener also receives every failure to connect, but never from within this call
     */
    ServiceConnection open(InetSocketAddress address, byte[] opening, ConnectionListener listener) {
        ServiceConnection connection = new ServiceConnection(listener);
        try {
            ConnectAttempt.start(
                    connector,
                    loop,
                    loop::postPriority,
                    CONNECT_TIMEOUT_TICKS,
                    address,
                    session -> session.setAttribute(CONNECTION, connection),
                    new ConnectListener(address, connection, opening));
        } catch (RuntimeException e) {
            LOG.warn("no connection to {} could be begun: {}", address, e.toString());
            loop.postPriority(() -> connection.onClosed(false));
        }
        return connection;
    }

    private static ServiceConnection connectionOf(IoSession session) {
        return (ServiceConnection) session.getAttribute(CONNECTION);
    }

    /** Tells a connection how its attempt to connect ended. */
    private static final class ConnectListener implements ConnectAttempt.Listener {
        private final InetSocketAddress address;
        private final ServiceConnection connection;
        private final byte[] opening;

        ConnectListener(InetSocketAddress address, ServiceConnection connection, byte[] opening) {
            this.address = address;
            this.connection = connection;
            this.opening = opening;
        }

        @Override
        public void connected(IoSession session) {
            connection.onConnected(session, opening);
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

    /** Posts what happens on a socket to the event loop; called on the socket threads. */
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

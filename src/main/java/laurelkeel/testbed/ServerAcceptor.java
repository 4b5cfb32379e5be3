package laurelkeel.testbed;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import laurelkeel.wire.HttpCodec;
import laurelkeel.wire.HttpLimits;
import laurelkeel.wire.HttpRequest;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/**
 * The listening port and connections of a simulated server. Everything but the socket I/O happens on the fleet's loop.
 */
final class ServerAcceptor {
    private static final int BACKLOG = 1024;

    /** Listener for requests and closed connections; called on the fleet's loop. */
    interface Listener {
        /** Called when a request has arrived. */
        void requestReceived(IoSession session, HttpRequest request, long receivedAtTicks);

        /** Called when a connection has closed, from either side. */
        void sessionClosed(IoSession session);
    }

    private final SimulatedFleet fleet;
    private final Listener listener;
    private final NioSocketAcceptor acceptor;
    private final Set<IoSession> sessions = new LinkedHashSet<>();
    private final InetSocketAddress address;
    private boolean isClosed;

    /**
     * Binds the port.
     *
     * @throws IOException if it is in use
     */
    ServerAcceptor(SimulatedFleet fleet, InetSocketAddress address, Listener listener) throws IOException {
        this.fleet = fleet;
        this.listener = listener;
        acceptor = new NioSocketAcceptor(fleet.executor, fleet.processors);
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(BACKLOG);
        acceptor.getSessionConfig().setTcpNoDelay(true);
        acceptor.getFilterChain().addLast("http", HttpCodec.server(HttpLimits.DEFAULT));
        acceptor.setHandler(new SessionHandler());
        acceptor.bind(address);
        this.address = acceptor.getLocalAddress();
    }

    InetSocketAddress address() {
        return address;
    }

    /** Closes the port until a given time, and all open connections. */
    void refuseUntil(long untilTicks) {
        acceptor.unbind();
        sessions.forEach(IoSession::closeNow);
        fleet.loop.schedule(untilTicks, this::rebind);
    }

    private void rebind() {
        if (isClosed) {
            return;
        }
        try {
            acceptor.bind(address);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    void close() {
        isClosed = true;
        acceptor.unbind();
        sessions.forEach(IoSession::closeNow);
        fleet.executor.execute(() -> acceptor.dispose(false));
    }

    private final class SessionHandler extends IoHandlerAdapter {
        @Override
        public void sessionOpened(IoSession session) {
            fleet.loop.post(() -> {
                sessions.add(session);
                if (isClosed || sessions.size() > fleet.profile().connectionLimit()) {
                    session.closeNow();
                }
            });
        }

        @Override
        public void sessionClosed(IoSession session) {
            fleet.loop.post(() -> {
                sessions.remove(session);
                listener.sessionClosed(session);
            });
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            long receivedAtTicks = fleet.recordTicks();
            if (message instanceof HttpRequest request) {
                fleet.loop.post(() -> listener.requestReceived(session, request, receivedAtTicks));
            } else if (message instanceof Exception) {
                session.closeNow();
            }
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            session.closeNow();
        }
    }
}

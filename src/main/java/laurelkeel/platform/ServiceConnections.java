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

/** Connections to the platform's own services, as bytes. All that is heard comes on the loop, ahead of traffic. */
final class ServiceConnections {
    private static final Logger LOG = LoggerFactory.getLogger(ServiceConnections.class);
    private static final AttributeKey LINK = new AttributeKey(ServiceConnections.class, "link");
    private static final long DIAL = 10_000;

    interface Heard {
        /** @param arrived the moment they were read */
        void bytes(byte[] bytes, long arrived);

        /** Once, also where it never came up, but not after close; written: bytes of ours may have left. */
        void closed(boolean written);
    }

    /** One connection, from its dialling on. Loop only. */
    static final class ServiceConnection {
        private final Heard heard;
        private IoSession session;
        private boolean over;

        private ServiceConnection(Heard heard) {
            this.heard = heard;
        }

        private void connected(IoSession connected, byte[] opening) {
            if (over) {
                connected.closeNow();
            } else {
                session = connected;
                write(opening);
            }
        }

        void write(byte[] bytes) {
            session.write(IoBuffer.wrap(bytes));
        }

        boolean open() {
            return session != null && !over;
        }

        void close() {
            over = true;
            if (session != null) {
                session.closeNow();
            }
        }
    }

    private final EventLoop loop;
    private final NioSocketConnector connector;

    ServiceConnections(EventLoop loop, Executor threads, SimpleIoProcessorPool<NioSession> processors) {
        this.loop = loop;
        connector = new NioSocketConnector(threads, processors);
        connector.setConnectTimeoutMillis(ConnectAttempt.MINA_TIMEOUT_MS);
        connector.getSessionConfig().setTcpNoDelay(true);
        // by the wall clock, which may be stepped: who awaits an answer bounds it
        connector.getSessionConfig().setWriteTimeout(0);
        connector.setHandler(new Handler());
    }

    void close() {
        connector.dispose(false);
    }

    /** Dials, and writes the opening bytes once it is up. Whatever fails is told to heard, and later, never thrown. */
    ServiceConnection open(InetSocketAddress at, byte[] opening, Heard heard) {
        ServiceConnection link = new ServiceConnection(heard);
        try {
            ConnectAttempt.start(
                    connector,
                    loop,
                    loop::postPriority,
                    DIAL,
                    at,
                    session -> session.setAttribute(LINK, link),
                    new ConnectAttempt.Listener() {
                        @Override
                        public void connected(IoSession session) {
                            link.connected(session, opening);
                        }

                        @Override
                        public void failed(Throwable why) {
                            LOG.info("{} could not be reached: {}", at, String.valueOf(why));
                            ended(link, false);
                        }

                        @Override
                        public void timedOut() {
                            LOG.info("{} did not come up in time", at);
                            ended(link, false);
                        }
                    });
        } catch (RuntimeException e) {
            LOG.warn("{} could not be dialled: {}", at, e.toString());
            loop.postPriority(() -> ended(link, false));
        }
        return link;
    }

    private static void ended(ServiceConnection link, boolean written) {
        if (!link.over) {
            link.over = true;
            link.heard.closed(written);
        }
    }

    private final class Handler extends ConnectAttempt.Handler {
        @Override
        public void messageReceived(IoSession session, Object message) {
            IoBuffer in = (IoBuffer) message;
            byte[] bytes = new byte[in.remaining()];
            in.get(bytes);
            long arrived = loop.clockTicks();
            ServiceConnection link = (ServiceConnection) session.getAttribute(LINK);
            loop.postPriority(() -> {
                if (!link.over) {
                    link.heard.bytes(bytes, arrived);
                }
            });
        }

        @Override
        public void sessionClosed(IoSession session) {
            ServiceConnection link = (ServiceConnection) session.getAttribute(LINK);
            boolean written = session.getWrittenBytes() > 0;
            loop.postPriority(() -> ended(link, written));
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            LOG.info("the connection to {} broke: {}", session.getRemoteAddress(), String.valueOf(cause));
            session.closeNow();
        }
    }
}

package laurelkeel.platform;

import java.net.InetSocketAddress;
import java.util.concurrent.Executor;
import laurelkeel.front.upstream.Dial;
import laurelkeel.loop.Loop;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Connections to the platform's own services, as bytes. All that is heard comes on the loop, ahead of traffic. */
final class Links {
    private static final Logger LOG = LoggerFactory.getLogger(Links.class);
    private static final AttributeKey LINK = new AttributeKey(Links.class, "link");
    private static final long DIAL = 10_000;

    interface Heard {
        /** @param arrived the moment they were read */
        void bytes(byte[] bytes, long arrived);

        /** Once, also where it never came up, but not after close; written: bytes of ours may have left. */
        void closed(boolean written);
    }

    /** One connection, from its dialling on. Loop only. */
    static final class Link {
        private final Heard heard;
        private IoSession session;
        private boolean over;

        private Link(Heard heard) {
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

    private final Loop loop;
    private final NioSocketConnector connector;

    Links(Loop loop, Executor threads, SimpleIoProcessorPool<NioSession> processors) {
        this.loop = loop;
        connector = new NioSocketConnector(threads, processors);
        connector.setConnectTimeoutMillis(Dial.MINA_TIMEOUT_MS);
        connector.getSessionConfig().setTcpNoDelay(true);
        // by the wall clock, which may be stepped: who awaits an answer bounds it
        connector.getSessionConfig().setWriteTimeout(0);
        connector.setHandler(new Handler());
    }

    void close() {
        connector.dispose(false);
    }

    /** Dials, and writes the opening bytes once it is up. Whatever fails is told to heard, and later, never thrown. */
    Link open(InetSocketAddress at, byte[] opening, Heard heard) {
        Link link = new Link(heard);
        try {
            Dial.start(
                    connector,
                    loop,
                    loop::postNews,
                    DIAL,
                    at,
                    session -> session.setAttribute(LINK, link),
                    new Dial.Outcome() {
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
            loop.postNews(() -> ended(link, false));
        }
        return link;
    }

    private static void ended(Link link, boolean written) {
        if (!link.over) {
            link.over = true;
            link.heard.closed(written);
        }
    }

    private final class Handler extends Dial.Handler {
        @Override
        public void messageReceived(IoSession session, Object message) {
            IoBuffer in = (IoBuffer) message;
            byte[] bytes = new byte[in.remaining()];
            in.get(bytes);
            long arrived = loop.clock();
            Link link = (Link) session.getAttribute(LINK);
            loop.postNews(() -> {
                if (!link.over) {
                    link.heard.bytes(bytes, arrived);
                }
            });
        }

        @Override
        public void sessionClosed(IoSession session) {
            Link link = (Link) session.getAttribute(LINK);
            boolean written = session.getWrittenBytes() > 0;
            loop.postNews(() -> ended(link, written));
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            LOG.info("the connection to {} broke: {}", session.getRemoteAddress(), String.valueOf(cause));
            session.closeNow();
        }
    }
}

package laurelkeel.front.upstream;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.channels.Channel;
import java.util.function.Consumer;
import laurelkeel.eventloop.EventLoop;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.polling.AbstractPollingIoConnector;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.core.session.IoSessionInitializer;
import org.apache.mina.transport.socket.nio.NioSocketConnector;

/**
 * One connection that is being opened, within a span of real time. MINA measures its own limit by the wall clock: a step
 * forward would end all that are being opened at once and a step back none in time, so the loop's clock measures here.
 *
 * <p>One whose time is over is not cancelled through MINA's future. That may meet the moment in which it comes up, and
 * MINA 2.2.5 then counts its socket as gone twice, takes itself to have none, and leaves the others unwatched.
 */
public final class ConnectAttempt {
    /** For MINA's own limit: longer than any step of a wall clock that it should survive. */
    public static final long MINA_TIMEOUT_MS = 7L * 24 * 3600 * 1000;

    private static final AttributeKey DIAL = new AttributeKey(ConnectAttempt.class, "dial");

    /** What comes of it, told once on the loop's thread, but never from within start. */
    public interface Listener {
        void connected(IoSession session);

        void failed(Throwable why);

        /** It did not come up within its limit. */
        void timedOut();
    }

    private final Listener outcome;
    private volatile boolean abandoned;

    private ConnectAttempt(Listener outcome) {
        this.outcome = outcome;
    }

    /**
     * Starts it; on the loop's thread.
     *
     * @param loop measures the limit
     * @param post puts what comes of it on that loop: with its traffic, or ahead of it
     * @param limit tenths of a millisecond in which it has to be open
     * @param prepare run on the new session before anything is read from it
     * @throws RuntimeException where nothing was started; outcome is not told then
     */
    public static void start(
            NioSocketConnector connector,
            EventLoop loop,
            Consumer<Runnable> post,
            long limit,
            SocketAddress to,
            Consumer<IoSession> prepare,
            Listener outcome) {
        ConnectAttempt dial = new ConnectAttempt(outcome);
        IoSessionInitializer<ConnectFuture> initializer = (session, future) -> {
            session.setAttribute(DIAL, dial);
            prepare.accept(session);
        };
        ConnectFuture future = connector.connect(to, initializer);
        EventLoop.ScheduledTask alarm = loop.schedule(loop.nowTicks() + limit, () -> dial.abandon(future));
        future.addListener(f -> post.accept(() -> {
            alarm.cancel();
            dial.ended(future);
        }));
    }

    private void ended(ConnectFuture future) {
        if (abandoned) {
            closeIfConnected(future);
        } else if (future.isConnected()) {
            outcome.connected(future.getSession());
        } else {
            outcome.failed(future.getException());
        }
    }

    private void abandon(ConnectFuture future) {
        abandoned = true;
        if (!closeIfConnected(future)) {
            closeSocket(future);
        }
        outcome.timedOut();
    }

    private static boolean closeIfConnected(ConnectFuture future) {
        boolean connected = future.isConnected();
        if (connected) {
            future.getSession().closeNow();
        }
        return connected;
    }

    private static void closeSocket(ConnectFuture future) {
        if (future instanceof AbstractPollingIoConnector<?, ?>.ConnectionRequest request
                && request.getHandle() instanceof Channel socket) {
            try {
                socket.close();
            } catch (IOException e) {
                // it is given up either way
            }
        }
    }

    /** Handles what happens on connections that were opened so, for their connector. */
    public abstract static class Handler extends IoHandlerAdapter {
        /** It may have come up in the moment in which it was given up, and nobody has it then. */
        @Override
        public final void sessionOpened(IoSession session) {
            if (session.getAttribute(DIAL) instanceof ConnectAttempt dial && dial.abandoned) {
                session.closeNow();
            }
        }

        /** A server that has ended its output in order answers nothing any more. */
        @Override
        public final void inputClosed(IoSession session) {
            session.closeNow();
        }
    }
}

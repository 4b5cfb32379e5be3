package laurelkeel.front.upstream;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.channels.Channel;
import java.util.function.Consumer;
import laurelkeel.api.Ticks;
import laurelkeel.eventloop.EventLoop;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.polling.AbstractPollingIoConnector;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.core.session.IoSessionInitializer;
import org.apache.mina.transport.socket.nio.NioSocketConnector;

/**
 * An attempt to open one connection, with a timeout that is measured by the event loop's monotonic clock. MINA measures its
 * own connect timeout by the wall clock: a step forward would expire all pending connects immediately, and a step back would
 * delay their timeouts.
 *
 * <p>A connect that timed out or is no longer needed is not cancelled through MINA's future. If the connect completes at the
 * same moment, MINA 2.2.5 counts the removal of its socket twice, concludes that no sockets are left and stops polling the
 * others.
 *
 * <p>Not thread-safe; called on the event loop's thread.
 */
public final class ConnectAttempt {
    /**
     * Value for MINA's own connect timeout, in milliseconds. Steps of the wall clock that are shorter than this cannot expire
     * pending connects.
     */
    public static final long MINA_TIMEOUT_MS = 7L * 24 * 3600 * 1000;

    private static final long CANCEL_GRACE_TICKS = Ticks.PER_SECOND;
    private static final AttributeKey ATTEMPT = new AttributeKey(ConnectAttempt.class, "attempt");

    /** Receives the result exactly once, on the event loop's thread but never from within {@link ConnectAttempt#start}. */
    public interface Listener {
        /** Called when the connection is open. */
        void connected(IoSession session);

        /** Called when the connection could not be opened. */
        void failed(Throwable cause);

        /** Called when the connection did not open within the timeout; if it opens later, it is closed. */
        void timedOut();
    }

    private final Listener listener;
    private volatile boolean abandoned;

    private ConnectAttempt(Listener listener) {
        this.listener = listener;
    }

    /**
     * Starts an attempt.
     *
     * @param loop schedules the timeout
     * @param post posts the result to {@code loop}, as an ordinary or a priority task
     * @param timeoutTicks the maximum time for the connection to open
     * @param prepare initializes the new session; called before anything is read from it
     * @return cancels the attempt, whose listener is not called then; has no effect after the attempt has ended
     * @throws RuntimeException if the connect could not be started; the listener is not called in this case
     */
    public static Runnable start(
            NioSocketConnector connector,
            EventLoop loop,
            Consumer<Runnable> post,
            long timeoutTicks,
            SocketAddress address,
            Consumer<IoSession> prepare,
            Listener listener) {
        ConnectAttempt attempt = new ConnectAttempt(listener);
        IoSessionInitializer<ConnectFuture> initializer = (session, future) -> {
            session.setAttribute(ATTEMPT, attempt);
            prepare.accept(session);
        };
        ConnectFuture future = connector.connect(address, initializer);
        EventLoop.ScheduledTask timeout = loop.schedule(loop.nowTicks() + timeoutTicks, () -> attempt.timeOut(future));
        future.addListener(ignored -> post.accept(() -> {
            timeout.cancel();
            attempt.completed(future);
        }));
        return () -> {
            timeout.cancel();
            attempt.cancel(future, loop);
        };
    }

    /**
     * Closes the connection if it is open or opens soon, and only otherwise its socket: MINA keeps a session for ever whose
     * socket is closed just as the connect completes.
     */
    private void cancel(ConnectFuture future, EventLoop loop) {
        abandoned = true;
        if (!closeIfConnected(future)) {
            loop.schedule(loop.nowTicks() + CANCEL_GRACE_TICKS, () -> abandon(future));
        }
    }

    private void completed(ConnectFuture future) {
        if (abandoned) {
            closeIfConnected(future);
        } else if (future.isConnected()) {
            listener.connected(future.getSession());
        } else {
            listener.failed(future.getException());
        }
    }

    private void timeOut(ConnectFuture future) {
        abandon(future);
        listener.timedOut();
    }

    private void abandon(ConnectFuture future) {
        abandoned = true;
        if (!closeIfConnected(future)) {
            closeSocket(future);
        }
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
            } catch (IOException ignored) {
                // nothing waits for the attempt any more, so that a failed close changes nothing
            }
        }
    }

    /** Base class of the I/O handlers for connections that are opened by a {@link ConnectAttempt}. */
    public abstract static class Handler extends IoHandlerAdapter {
        /** Closes a connection that opened just as its attempt timed out or was cancelled, since nothing will use it. */
        @Override
        public final void sessionOpened(IoSession session) {
            if (session.getAttribute(ATTEMPT) instanceof ConnectAttempt attempt && attempt.abandoned) {
                session.closeNow();
            }
        }

        /** Closes the connection: a server that has shut down its output sends no further response. */
        @Override
        public final void inputClosed(IoSession session) {
            session.closeNow();
        }
    }
}

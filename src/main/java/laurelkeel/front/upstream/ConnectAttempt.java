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
 * Opens one connection within a timeout that goes by the event loop's monotonic clock. MINA's own timeout goes by the wall
 * clock: a step forward would end all pending connects at once, and a step back would end none in time.
 *
 * <p>A timed-out connect is not cancelled through MINA's future: if it completes at that moment, MINA 2.2.5 counts its
 * socket as gone twice, believes that it has none left and stops watching the others.
 *
 * <p>Not thread-safe; called on the event loop's thread.
 */
public final class ConnectAttempt {
    /** For MINA's own connect timeout, in milliseconds: longer than any step of the wall clock that should do no harm. */
    public static final long MINA_TIMEOUT_MS = 7L * 24 * 3600 * 1000;

    private static final AttributeKey ATTEMPT = new AttributeKey(ConnectAttempt.class, "attempt");

    /** Receives the result, once, on the event loop's thread but never from within {@link ConnectAttempt#start}. */
    public interface Listener {
        /** Called when the connection is open. */
        void connected(IoSession session);

        /** Called when the connection could not be opened. */
        void failed(Throwable cause);

        /** Called when the connection did not open in time; if it still opens, it is closed. */
        void timedOut();
    }

    private final Listener listener;
    private volatile boolean timedOut;

    private ConnectAttempt(Listener listener) {
        this.listener = listener;
    }

    /**
     * Starts an attempt.
     *
     * @param loop measures the timeout
     * @param post posts the result to that loop, as an ordinary or a priority task
     * @param timeoutTicks how long the connection may take to open
     * @param prepare run on the new session before anything is read from it
     * @throws RuntimeException where nothing was started; the listener is not called then
     */
    public static void start(
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
    }

    private void completed(ConnectFuture future) {
        if (timedOut) {
            closeIfConnected(future);
        } else if (future.isConnected()) {
            listener.connected(future.getSession());
        } else {
            listener.failed(future.getException());
        }
    }

    private void timeOut(ConnectFuture future) {
        timedOut = true;
        if (!closeIfConnected(future)) {
            closeSocket(future);
        }
        listener.timedOut();
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
                // it is given up either way
            }
        }
    }

    /** Base of the handlers for connections that were opened by an attempt. */
    public abstract static class Handler extends IoHandlerAdapter {
        /** Closes a connection that opened in the moment in which its attempt timed out: nobody uses it. */
        @Override
        public final void sessionOpened(IoSession session) {
            if (session.getAttribute(ATTEMPT) instanceof ConnectAttempt attempt && attempt.timedOut) {
                session.closeNow();
            }
        }

        /** Closes the connection: a server that has ended its output in order sends no further response. */
        @Override
        public final void inputClosed(IoSession session) {
            session.closeNow();
        }
    }
}

package laurelkeel.front.upstream;

import java.net.SocketAddress;
import java.util.function.Consumer;
import laurelkeel.loop.Loop;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.core.session.IoSessionInitializer;
import org.apache.mina.transport.socket.nio.NioSocketConnector;

/**
 * One connection that is being opened, within a span of real time. MINA measures its own limit by the wall clock: a step
 * forward would end all that are being opened at once and a step back none in time, so the loop's clock measures here.
 */
public final class Dial {
    /** For MINA's own limit: longer than any step of a wall clock that it should survive. */
    public static final long MINA_TIMEOUT_MS = 7L * 24 * 3600 * 1000;

    private static final AttributeKey DIAL = new AttributeKey(Dial.class, "dial");

    private volatile boolean abandoned;

    private Dial() { }

    /**
     * Starts it; on the loop's thread.
     *
     * @param limit tenths of a millisecond in which it has to be open
     * @param prepare run on the new session before anything is read from it
     * @param done told once on the loop's thread, but never from within this call
     * @throws RuntimeException where nothing was started; done is not told then
     */
    public static void start(NioSocketConnector connector, Loop loop, long limit, SocketAddress to,
            Consumer<IoSession> prepare, Consumer<ConnectFuture> done) {
        Dial dial = new Dial();
        IoSessionInitializer<ConnectFuture> initializer = (session, future) -> {
            session.setAttribute(DIAL, dial);
            prepare.accept(session);
        };
        ConnectFuture future = connector.connect(to, initializer);
        Loop.Alarm alarm = loop.at(loop.now() + limit, () -> {
            dial.abandoned = true;
            future.cancel();
        });
        future.addListener(f -> loop.post(() -> {
            alarm.cancel();
            done.accept(future);
        }));
    }

    /** To be called as a session opens: it may have come up in the moment in which it was given up, and nobody has it then. */
    public static void closeIfAbandoned(IoSession session) {
        if (session.getAttribute(DIAL) instanceof Dial dial && dial.abandoned) {
            session.closeNow();
        }
    }

    /** Why one failed, in words. */
    public static String failure(ConnectFuture failed) {
        return failed.isCanceled() ? "no connection in time" : String.valueOf(failed.getException());
    }
}

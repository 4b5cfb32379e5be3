package laurelkeel.front.ingress;

import java.nio.channels.ServerSocketChannel;
import java.util.Iterator;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts clients' connections, in three points unlike MINA's acceptor: an accept that fails for a moment (accept(2)
 * names ECONNABORTED, ENFILE, ENOBUFS and more) costs a moment and not a second; no more connections than
 * a bound have a descriptor at a time, however fast they come; and those that the kernel has accepted are taken before the
 * listener closes, for the close would reset them with the requests that their clients have sent.
 */
final class ClientAcceptor extends NioSocketAcceptor {
    private static final Logger LOG = LoggerFactory.getLogger(ClientAcceptor.class);
    /** After the first failure in a row none, then a millisecond more each time. */
    private static final int LONGEST_PAUSE_MS = 10;

    private static final long LOOK_AGAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    /** Looked for room that often before the listener is looked at again, which may be asked to close. */
    private static final int LOOKS = 200;
    /** A closing listener accepts what waits in the backlog for so long, and gives the rest up. */
    private static final long CLOSE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final SimpleIoProcessorPool<NioSession> processors;
    private final int most;
    private final AtomicInteger unopened = new AtomicInteger();
    private final AtomicInteger failures = new AtomicInteger();
    private int failuresInARow;

    /** @param most connections that may have a descriptor at a time, whatever becomes of them */
    ClientAcceptor(Executor threads, SimpleIoProcessorPool<NioSession> processors, int most) {
        super(threads, processors);
        this.processors = processors;
        this.most = most;
    }

    /** A connection that was accepted is looked at now. */
    void opened() {
        unopened.decrementAndGet();
    }

    /** Accepts that failed since the start. */
    int failures() {
        return failures.get();
    }

    /** Null where there is none, or it failed; by the acceptor's own thread. */
    @Override
    protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel handle) {
        if (!awaitRoom()) {
            return null;
        }
        try {
            NioSession session = super.accept(processor, handle);
            if (session == null) {
                // no descriptor is left: MINA has told so, and waited
                failures.incrementAndGet();
                return null;
            }
            failuresInARow = 0;
            unopened.incrementAndGet();
            return session;
        } catch (Exception e) {
            failed(e);
            return null;
        }
    }

    /**
     * A crowd that connects faster than a slow core closes would take every descriptor: what cannot be held waits in the
     * kernel's backlog, and the thread that closes gets its turn meanwhile. False where it has waited for long.
     */
    private boolean awaitRoom() {
        for (int i = 0; i < LOOKS; i++) {
            if (getManagedSessionCount() + unopened.get() < most) {
                return true;
            }
            LockSupport.parkNanos(LOOK_AGAIN_NANOS);
        }
        if (getManagedSessionCount() < most) {
            // those that ended before they were opened are not told
            unopened.set(0);
        }
        return false;
    }

    private void failed(Exception e) {
        failures.incrementAndGet();
        LOG.warn("a connection could not be accepted: {}", e.toString());
        int pause = Math.min(LONGEST_PAUSE_MS, failuresInARow++);
        if (pause > 0) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(pause));
        }
    }

    /** By the acceptor's thread, which selects too. */
    @Override
    protected void close(ServerSocketChannel handle) throws Exception {
        try {
            acceptRest();
        } catch (Exception e) {
            LOG.warn("not all connections in the backlog could be taken: {}", e.toString());
        } finally {
            super.close(handle);
        }
    }

    private void acceptRest() throws Exception {
        boolean more = true;
        long end = System.nanoTime() + CLOSE_NANOS;
        while (more && System.nanoTime() < end) {
            // woken ahead, so that it looks without waiting
            wakeup();
            more = select() > 0;
            for (Iterator<ServerSocketChannel> ready = selectedHandles(); ready.hasNext(); ) {
                ServerSocketChannel each = ready.next();
                ready.remove();
                NioSession session = accept(processors, each);
                if (session != null) {
                    initSession(session, null, null);
                    processors.add(session);
                }
            }
        }
    }
}

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
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts connections, and differs from MINA's acceptor in three points: an accept that fails for a moment (accept(2) names
 * ECONNABORTED, ENFILE, ENOBUFS and others) delays the next one by milliseconds instead of a second; a limit holds on the
 * connections that have a descriptor, however fast they arrive; and the listener closes only after it has accepted the
 * connections in the backlog, since the close would reset them with the requests that their clients have sent.
 *
 * <p>Threading: {@link #sessionOpened} and {@link #failedAccepts} are thread-safe; the rest runs on the acceptor's thread.
 */
final class ClientAcceptor extends NioSocketAcceptor {
    private static final Logger LOG = LoggerFactory.getLogger(ClientAcceptor.class);
    /** The pause after consecutive failures grows by a millisecond from none to this. */
    private static final int MAX_FAILURE_PAUSE_MILLIS = 10;

    private static final long CAPACITY_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    /** After so many polls the listener is served again, since it may have been asked to close. */
    private static final int MAX_CAPACITY_POLLS = 200;
    /** How long a closing listener accepts connections from its backlog. */
    private static final long MAX_CLOSE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final SimpleIoProcessorPool<NioSession> processors;
    private final int maxDescriptors;
    private final AtomicInteger unopenedSessions = new AtomicInteger();
    private final AtomicInteger failedAccepts = new AtomicInteger();
    private int consecutiveFailures;

    /**
     * Creates an acceptor that does not listen yet.
     *
     * @param maxDescriptors connections that may have a descriptor at a time, in whatever state
     */
    ClientAcceptor(Executor threads, SimpleIoProcessorPool<NioSession> processors, int maxDescriptors) {
        super(threads, processors);
        this.processors = processors;
        this.maxDescriptors = maxDescriptors;
    }

    /** Records that the session of an accepted connection has opened. */
    void sessionOpened() {
        unopenedSessions.decrementAndGet();
    }

    /** Returns how many accepts have failed since the start. */
    int failedAccepts() {
        return failedAccepts.get();
    }

    /** Returns null where no connection was accepted. */
    @Override
    protected @Nullable NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel handle) {
        if (!awaitCapacity()) {
            return null;
        }
        try {
            NioSession session = super.accept(processor, handle);
            if (session == null) {
                // no descriptor is left: MINA has logged that, and waited
                failedAccepts.incrementAndGet();
                return null;
            }
            consecutiveFailures = 0;
            unopenedSessions.incrementAndGet();
            return session;
        } catch (Exception e) {
            acceptFailed(e);
            return null;
        }
    }

    /**
     * Waits until a further connection may have a descriptor; false where that took too long. Clients that connect faster
     * than a slow core closes would else take all descriptors; now they wait in the kernel's backlog, and the threads that
     * close connections get their turn.
     */
    private boolean awaitCapacity() {
        for (int poll = 0; poll < MAX_CAPACITY_POLLS; poll++) {
            if (getManagedSessionCount() + unopenedSessions.get() < maxDescriptors) {
                return true;
            }
            LockSupport.parkNanos(CAPACITY_POLL_NANOS);
        }
        if (getManagedSessionCount() < maxDescriptors) {
            // sessions that ended before they were opened are never reported
            unopenedSessions.set(0);
        }
        return false;
    }

    private void acceptFailed(Exception cause) {
        failedAccepts.incrementAndGet();
        LOG.warn("cannot accept a connection: {}", cause.toString());
        int pauseMillis = Math.min(MAX_FAILURE_PAUSE_MILLIS, consecutiveFailures++);
        if (pauseMillis > 0) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(pauseMillis));
        }
    }

    @Override
    protected void close(ServerSocketChannel handle) throws Exception {
        try {
            acceptBacklog();
        } catch (Exception e) {
            LOG.warn("cannot accept all connections in the backlog: {}", e.toString());
        } finally {
            super.close(handle);
        }
    }

    private void acceptBacklog() throws Exception {
        boolean more = true;
        long deadlineNanos = System.nanoTime() + MAX_CLOSE_NANOS;
        while (more && System.nanoTime() < deadlineNanos) {
            // woken ahead, so that the select does not wait
            wakeup();
            more = select() > 0;
            for (Iterator<ServerSocketChannel> ready = selectedHandles(); ready.hasNext(); ) {
                ServerSocketChannel listener = ready.next();
                ready.remove();
                NioSession session = accept(processors, listener);
                if (session != null) {
                    initSession(session, null, null);
                    processors.add(session);
                }
            }
        }
    }
}

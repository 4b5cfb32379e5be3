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
 * Accepts connections from clients. It differs from MINA's acceptor in three points:
 *
 * <ul>
 *   <li>After a transient accept failure (accept(2) lists ECONNABORTED, ENFILE, ENOBUFS and others) it pauses for
 *       milliseconds instead of a second.
 *   <li>It limits the number of connections that have a file descriptor, however fast connections arrive.
 *   <li>Before it closes the listening socket, it accepts the connections in the backlog. Closing would reset them, and the
 *       requests that their clients have already sent would be lost.
 * </ul>
 *
 * <p>Threading: {@link #sessionOpened} and {@link #failedAccepts} are thread-safe; the rest runs on the acceptor's thread.
 */
final class ClientAcceptor extends NioSocketAcceptor {
    private static final Logger LOG = LoggerFactory.getLogger(ClientAcceptor.class);
    /** The pause after a failure starts at 0 and grows by 1 ms with each consecutive failure, up to this limit. */
    private static final int MAX_FAILURE_PAUSE_MILLIS = 10;

    private static final long CAPACITY_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    /** After this number of polls, control returns to MINA's accept loop, because a close may have been requested. */
    private static final int MAX_CAPACITY_POLLS = 200;
    /** Maximum time for which connections are accepted from the backlog while the listening socket is being closed. */
    private static final long MAX_CLOSE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final SimpleIoProcessorPool<NioSession> processors;
    private final int maxDescriptors;
    private final AtomicInteger unopenedSessions = new AtomicInteger();
    private final AtomicInteger failedAccepts = new AtomicInteger();
    private int consecutiveFailures;

    /**
     * Creates an acceptor that is not listening yet.
     *
     * @param maxDescriptors maximum number of connections that have a file descriptor at the same time, in any state
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

    /** Returns the number of failed accepts since the start. */
    int failedAccepts() {
        return failedAccepts.get();
    }

    /** Accepts one connection; returns null if none was accepted. */
    @Override
    protected @Nullable NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel handle) {
        if (!awaitCapacity()) {
            return null;
        }
        try {
            NioSession session = super.accept(processor, handle);
            if (session == null) {
                // the process has no file descriptor left; MINA has already logged this and paused
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
     * Waits until the limit on descriptors allows another connection; returns false if that takes too long. On a slow core,
     * clients can connect faster than connections are closed and would use up all descriptors. With the wait, they stay in
     * the kernel's backlog, and the threads that close connections get CPU time.
     */
    private boolean awaitCapacity() {
        for (int poll = 0; poll < MAX_CAPACITY_POLLS; poll++) {
            if (getManagedSessionCount() + unopenedSessions.get() < maxDescriptors) {
                return true;
            }
            LockSupport.parkNanos(CAPACITY_POLL_NANOS);
        }
        if (getManagedSessionCount() < maxDescriptors) {
            // too high if sessions ended before they were opened: sessionOpened is not called for those
            unopenedSessions.set(0);
        }
        return false;
    }

    private void acceptFailed(Exception cause) {
        failedAccepts.incrementAndGet();
        LOG.warn("failed to accept a connection: {}", cause.toString());
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
            LOG.warn("failed to accept the remaining connections in the backlog: {}", e.toString());
        } finally {
            super.close(handle);
        }
    }

    private void acceptBacklog() throws Exception {
        boolean more = true;
        long deadlineNanos = System.nanoTime() + MAX_CLOSE_NANOS;
        while (more && System.nanoTime() < deadlineNanos) {
            // wakeup() makes the following select() return immediately
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

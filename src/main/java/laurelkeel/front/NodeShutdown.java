package laurelkeel.front;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import laurelkeel.front.ingress.Ingress;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Closes everything that a front node opened, once, also where its start stopped half way. Runs on the event loop's
 * thread after the loop has ended, or on the starting thread before the loop's has begun.
 */
final class NodeShutdown {
    private static final Logger LOG = LoggerFactory.getLogger(NodeShutdown.class);

    /** What has not closed by then is left to the end of the process. */
    private static final long CLOSE_TIMEOUT_MILLIS = 10_000;

    /** Connections have so long to take their last answers before the rest is closed as it is. */
    private static final long FLUSH_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private static final long FLUSH_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final NodeComponents components;
    private final Ingress ingress;
    private final NodeLifecycle lifecycle;
    private final AcceptedRequestTable requests;
    private final TotalsLogger totalsLogger;

    NodeShutdown(
            NodeComponents components,
            NodeLifecycle lifecycle,
            AcceptedRequestTable requests,
            TotalsLogger totalsLogger) {
        this.components = components;
        this.lifecycle = lifecycle;
        this.requests = requests;
        this.totalsLogger = totalsLogger;
        ingress = components.ingress();
    }

    /**
     * Closes the node and completes its termination.
     *
     * @param cause what the node failed of; null after a drain
     */
    void run(@Nullable Throwable cause) {
        lifecycle.enter(
                NodeState.CLOSING,
                cause != null ? "it failed: " + cause : "it has drained or its time for that is over");
        totalsLogger.log();
        CompletableFuture.delayedExecutor(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .execute(() -> giveUp(cause));
        Throwable failure = cause;
        for (Runnable task : closeTasks()) {
            try {
                task.run();
            } catch (RuntimeException | Error e) {
                // where memory has run out a task may fail too: the others and the exit must not wait for it
                failure = failure == null ? e : failure;
            }
        }
        lifecycle.enter(NodeState.ENDED, "all of it is closed");
        lifecycle.terminate(failure);
    }

    private List<Runnable> closeTasks() {
        List<Runnable> tasks =
                new ArrayList<>(List.of(this::failActiveRequests, ingress::close, components.pools()::close));
        // the threads of sockets still close those, and end when nothing is left to do
        tasks.addAll(components.services().closeTasks());
        tasks.add(components.runtime().timer()::shutdown);
        return tasks;
    }

    /** Whoever waits for the end of the node must not wait for a part that never closes. */
    private void giveUp(@Nullable Throwable cause) {
        TimeoutException timeout =
                new TimeoutException("not all of the node was closed within " + CLOSE_TIMEOUT_MILLIS + " ms");
        if (lifecycle.terminate(cause == null ? timeout : cause)) {
            LOG.error("the node ends with parts of it still open", timeout);
        }
    }

    /** The node is never half alive: active requests fail at once, and no new one is accepted. */
    private void failActiveRequests() {
        lifecycle.stopDeciding();
        for (AcceptedRequest request : requests.snapshot()) {
            request.attempts().forEach(DispatchedAttempt::abandon);
            if (!request.isAnswered()) {
                request.markAnswered();
                ingress.answer(
                        request.connection(),
                        request.clientRequest().closesConnection(),
                        components.protocol().failed(false, "this front ended; the req may have run"));
            }
        }
        ingress.flush();
        // after that, for it may have to wait for the thread that accepts
        ingress.unbind();
        rejectQueuedRequests();
    }

    /** Rejects requests that were read and not begun; connections that owe nothing end before more is read off them. */
    private void rejectQueuedRequests() {
        long deadline = System.nanoTime() + FLUSH_TIMEOUT_NANOS;
        do {
            components.loop().runRemaining();
            ingress.flush();
            ingress.closeIdle();
            LockSupport.parkNanos(FLUSH_INTERVAL_NANOS);
        } while (ingress.openConnections() > 0 && System.nanoTime() < deadline);
    }
}

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
 * Closes everything that a front node opened, once, also if its start failed half way. Runs on the event loop's thread
 * after the loop has ended, or on the starting thread before the loop's thread is started.
 */
final class NodeShutdown {
    private static final Logger LOG = LoggerFactory.getLogger(NodeShutdown.class);

    /** Parts that have not closed after this time are left to the exit of the process. */
    private static final long CLOSE_TIMEOUT_MILLIS = 10_000;

    /** Clients have this long to read their last answers; then the remaining connections are closed. */
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
     * @param cause the cause of the node's failure; null after a drain
     */
    void run(@Nullable Throwable cause) {
        lifecycle.enter(NodeState.CLOSING, cause != null ? "failed: " + cause : "drained, or the drain timed out");
        totalsLogger.log();
        CompletableFuture.delayedExecutor(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .execute(() -> onCloseTimeout(cause));
        Throwable failure = cause;
        for (Runnable task : closeTasks()) {
            try {
                task.run();
            } catch (RuntimeException | Error e) {
                // if memory is exhausted, a task may fail too; the other tasks and the exit must still follow
                failure = failure == null ? e : failure;
            }
        }
        lifecycle.enter(NodeState.ENDED, "everything is closed");
        lifecycle.terminate(failure);
    }

    private List<Runnable> closeTasks() {
        List<Runnable> tasks =
                new ArrayList<>(List.of(this::failActiveRequests, ingress::close, components.pools()::close));
        // socket threads are not shut down here: they still close their sockets and end when idle
        tasks.addAll(components.services().closeTasks());
        tasks.add(components.runtime().timer()::shutdown);
        return tasks;
    }

    /** Terminates the node although parts are still open, so that a part that never closes does not block its exit. */
    private void onCloseTimeout(@Nullable Throwable cause) {
        TimeoutException timeout =
                new TimeoutException("not all parts of the node were closed within " + CLOSE_TIMEOUT_MILLIS + " ms");
        if (lifecycle.terminate(cause == null ? timeout : cause)) {
            LOG.error("the node ends with some parts still open", timeout);
        }
    }

    /** Fails all active requests immediately and accepts no new ones, so that the node never keeps serving in part. */
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
        // after the flush, since it may have to wait for the thread that accepts connections
        ingress.unbind();
        rejectQueuedRequests();
    }

    /**
     * Rejects requests that were read but not begun. Connections without pending answers are closed before more is
     * read.
     */
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

package laurelkeel.front;

import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The state of a front node from its construction to its end. State, health and termination may be read on any thread.
 * Whether the node is closing connections or has stopped deciding, and how long it may answer, is written and read on the
 * event loop's thread only.
 */
final class NodeLifecycle {
    private static final Logger LOG = LoggerFactory.getLogger(NodeLifecycle.class);

    private final int nodeIndex;
    private final String incarnation;
    private final CompletableFuture<@Nullable Throwable> termination = new CompletableFuture<>();
    private volatile NodeState state = NodeState.CREATED;
    private boolean isClosingConnections;
    private boolean hasStoppedDeciding;
    private long latestAnswerTicks = Long.MAX_VALUE;

    NodeLifecycle(int nodeIndex, String incarnation) {
        this.nodeIndex = nodeIndex;
        this.incarnation = incarnation;
    }

    NodeState state() {
        return state;
    }

    /** Enters another state and logs the reason. */
    void enter(NodeState next, String reason) {
        LOG.info("node {} incarnation {}: {} -> {}, {}", nodeIndex, incarnation, state, next, reason);
        state = next;
    }

    /** Returns the node's health, in the form of {@link FrontStatus#health()}. */
    String health() {
        if (termination.getNow(null) != null) {
            return "failed";
        }
        return state.isShuttingDown() ? "draining" : "ok";
    }

    /**
     * From now on each response closes its connection. If there was no lame-duck period, new requests are rejected too.
     */
    void startClosingConnections() {
        isClosingConnections = true;
    }

    boolean isClosingConnections() {
        return isClosingConnections;
    }

    /** From now on no request that is accepted may be answered later than at the given time. */
    void limitAnswers(long latestTicks) {
        latestAnswerTicks = latestTicks;
    }

    /** Returns the latest time at which a request that is accepted now may be answered. */
    long latestAnswerTicks() {
        return latestAnswerTicks;
    }

    /** From now on no event reaches the decider, and requests that still arrive are rejected immediately. */
    void stopDeciding() {
        isClosingConnections = true;
        hasStoppedDeciding = true;
    }

    boolean hasStoppedDeciding() {
        return hasStoppedDeciding;
    }

    /**
     * Completes the termination, if it is not completed yet.
     *
     * @param failure the cause of the node's failure; null after a drain
     * @return whether this call completed it
     */
    boolean terminate(@Nullable Throwable failure) {
        return termination.complete(failure);
    }

    /** Returns the future that is completed with null after a drain, or with the cause of the node's failure. */
    CompletableFuture<@Nullable Throwable> termination() {
        return termination;
    }
}

package laurelkeel.front;

import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The state of a front node from its construction to its end. State, health and termination may be read on any thread;
 * whether the node rejects requests or has stopped deciding is written and read on the event loop's thread only.
 */
final class NodeLifecycle {
    private static final Logger LOG = LoggerFactory.getLogger(NodeLifecycle.class);

    private final int nodeIndex;
    private final String incarnation;
    private final CompletableFuture<@Nullable Throwable> termination = new CompletableFuture<>();
    private volatile NodeState state = NodeState.CREATED;
    private boolean isClosingConnections;
    private boolean hasStoppedDeciding;

    NodeLifecycle(int nodeIndex, String incarnation) {
        this.nodeIndex = nodeIndex;
        this.incarnation = incarnation;
    }

    NodeState state() {
        return state;
    }

    /** Moves on to another state and logs why. */
    void enter(NodeState next, String reason) {
        LOG.info("node {} incarnation {}: {} -> {}, {}", nodeIndex, incarnation, state, next, reason);
        state = next;
    }

    /** The node's health as {@link FrontStatus#health()} reports it. */
    String health() {
        if (termination.getNow(null) != null) {
            return "failed";
        }
        return state.isShuttingDown() ? "draining" : "ok";
    }

    /**
     * From now on each response closes its connection; where there was no lame-duck period, new requests are rejected
     * too.
     */
    void startClosingConnections() {
        isClosingConnections = true;
    }

    boolean isClosingConnections() {
        return isClosingConnections;
    }

    /** No further event reaches the decider: what still arrives is rejected at once. */
    void stopDeciding() {
        isClosingConnections = true;
        hasStoppedDeciding = true;
    }

    boolean hasStoppedDeciding() {
        return hasStoppedDeciding;
    }

    /**
     * Completes the termination.
     *
     * @param failure what the node failed of; null after a drain
     * @return whether it had not been completed before
     */
    boolean terminate(@Nullable Throwable failure) {
        return termination.complete(failure);
    }

    /** Completed once with null after a drain, or with what the node failed of. */
    CompletableFuture<@Nullable Throwable> termination() {
        return termination;
    }
}

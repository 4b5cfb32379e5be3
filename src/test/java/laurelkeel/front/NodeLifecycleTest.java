package laurelkeel.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class NodeLifecycleTest {
    private final NodeLifecycle lifecycle = new NodeLifecycle(0, "life");

    @Test
    void healthReportsWhetherTheNodeShouldGetRequests() {
        assertEquals("ok", lifecycle.health());
        lifecycle.enter(NodeState.SERVING, "test");
        assertEquals("ok", lifecycle.health());
        lifecycle.enter(NodeState.DRAINING, "test");
        assertEquals("draining", lifecycle.health());
        lifecycle.enter(NodeState.ENDED, "test");
        lifecycle.terminate(null);
        assertEquals("draining", lifecycle.health());
    }

    @Test
    void aNodeThatFailedIsNotHealthy() {
        Throwable failure = new IllegalStateException("thrown by the test");
        assertTrue(lifecycle.terminate(failure));
        assertFalse(lifecycle.terminate(null), "a node terminates only once");
        assertEquals("failed", lifecycle.health());
        assertSame(failure, lifecycle.termination().join());
    }

    @Test
    void aDrainEndsWithoutFailure() {
        lifecycle.terminate(null);
        assertNull(lifecycle.termination().join());
    }

    @Test
    void aNodeThatHasStoppedDecidingIsClosingConnectionsToo() {
        lifecycle.startClosingConnections();
        assertTrue(lifecycle.isClosingConnections());
        assertFalse(lifecycle.hasStoppedDeciding());
        NodeLifecycle failed = new NodeLifecycle(0, "life");
        failed.stopDeciding();
        assertTrue(failed.isClosingConnections() && failed.hasStoppedDeciding());
    }
}

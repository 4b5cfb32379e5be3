package laurelkeel.front.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ConnectionLimiterTest {
    private final ConnectionLimiter limiter = new ConnectionLimiter(2);

    private EndpointConnectionPool pool(String key) {
        return new EndpointConnectionPool(new EndpointAddress(key, null), EndpointConnectionPoolTest.SETTINGS, limiter);
    }

    @Test
    void connectionsBeingOpenedCountAgainstTheLimit() {
        limiter.connectStarted();
        assertFalse(limiter.isFull());
        limiter.connectionOpened();
        assertTrue(limiter.isFull());
        limiter.connectEnded();
        assertFalse(limiter.isFull());
        assertEquals(1, limiter.openConnections());
        limiter.connectionClosed();
        assertEquals(0, limiter.openConnections());
    }

    @Test
    void starvedPoolsAreServedInTheOrderInWhichTheyWereQueued() {
        EndpointConnectionPool first = pool("first");
        EndpointConnectionPool second = pool("second");
        limiter.addStarved(first);
        limiter.addStarved(second);
        limiter.addStarved(first);
        assertTrue(limiter.isStarved(first));
        assertSame(first, limiter.pollStarved());
        assertFalse(limiter.isStarved(first));
        assertSame(second, limiter.pollStarved());
        assertFalse(limiter.hasStarvedPools());
        assertNull(limiter.pollStarved());
    }
}

package laurelkeel.front.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.wire.HttpLimits;
import org.apache.mina.core.session.DummySession;
import org.junit.jupiter.api.Test;

class EndpointConnectionPoolTest {
    /** Allows two connections and one waiting exchange per endpoint. */
    static final UpstreamSettings SETTINGS =
            new UpstreamSettings(HttpLimits.DEFAULT, 2, 10, 1, 100, 100, 1, "/health", 100, 0);

    private final ConnectionLimiter limiter = new ConnectionLimiter(10);
    private final EndpointConnectionPool pool =
            new EndpointConnectionPool(new EndpointAddress("e", null), SETTINGS, limiter);

    private EndpointConnection addIdleSince(long ticks) {
        EndpointConnection connection = EndpointConnection.attach(pool, new DummySession(), ticks);
        pool.connectionOpened();
        pool.addIdle(connection);
        return connection;
    }

    private Exchange exchange() {
        return new Exchange(pool, () -> new byte[0], (outcome, response) -> {});
    }

    @Test
    void theMostRecentlyUsedConnectionPastTheReuseDelayIsTaken() {
        EndpointConnection oldest = addIdleSince(10);
        EndpointConnection reusable = addIdleSince(20);
        EndpointConnection usedRecently = addIdleSince(30);
        assertSame(reusable, pool.pollIdle(25));
        assertSame(oldest, pool.pollIdle(25));
        assertNull(pool.pollIdle(25));
        assertSame(usedRecently, pool.pollIdle(30));
    }

    @Test
    void aConnectionThatIsClosingIsNotTaken() {
        EndpointConnection usable = addIdleSince(10);
        addIdleSince(20).close();
        assertSame(usable, pool.pollIdle(30));
        assertNull(pool.longestIdle());
    }

    @Test
    void connectionsIdleSinceBeforeATimeAreClosed() {
        EndpointConnection old = addIdleSince(10);
        EndpointConnection recent = addIdleSince(20);
        pool.closeIdleSinceBefore(20);
        assertFalse(old.isUsable());
        assertTrue(recent.isUsable());
        assertSame(recent, pool.longestIdle());
    }

    @Test
    void aConnectionIsNeededForEachWaitingExchangeWithinTheLimit() {
        assertFalse(pool.needsConnection());
        pool.addWaiting(exchange());
        assertTrue(pool.needsConnection());
        pool.connectStarted();
        assertFalse(pool.needsConnection(), "a connection is being opened");
        pool.addWaiting(exchange());
        assertTrue(pool.needsConnection());
        pool.connectStarted();
        pool.addWaiting(exchange());
        assertFalse(pool.needsConnection(), "the limit is reached");
        assertEquals("0/0/2/3", pool.describe());
    }

    @Test
    void anExchangeIsAcceptedIfItMayWaitOrAConnectionIsIdle() {
        assertTrue(pool.acceptsExchange());
        pool.addWaiting(exchange());
        assertFalse(pool.acceptsExchange());
        addIdleSince(10);
        assertTrue(pool.acceptsExchange());
    }

    @Test
    void cancellingAWaitingExchangeReportsThatItWasNotSent() {
        Exchange first = exchange();
        pool.addWaiting(first);
        assertEquals(AttemptOutcome.NOT_SENT, first.cancel(AttemptOutcome.CANCELLED));
        assertFalse(pool.hasWaiting());
        Exchange second = exchange();
        pool.addWaiting(second);
        assertEquals(AttemptOutcome.CONNECT_FAILED, second.cancel(AttemptOutcome.TIMED_OUT));
        assertTrue(pool.isUnused());
    }

    @Test
    void aTimeoutOfASentExchangeClosesConnectionsIdleSinceBeforeItWasSent() {
        EndpointConnection carrier = EndpointConnection.attach(pool, new DummySession(), 0);
        EndpointConnection before = addIdleSince(10);
        EndpointConnection after = addIdleSince(30);
        Exchange exchange = exchange();
        carrier.send(exchange, new byte[1], 20);
        assertEquals(AttemptOutcome.TIMED_OUT, exchange.cancel(AttemptOutcome.TIMED_OUT));
        assertFalse(carrier.isUsable());
        assertFalse(before.isUsable());
        assertTrue(after.isUsable());
        assertNull(carrier.takeExchange());
    }
}

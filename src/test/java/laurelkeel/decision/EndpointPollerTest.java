package laurelkeel.decision;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Ticks;
import org.junit.jupiter.api.Test;

class EndpointPollerTest {
    private static final long MAX_AGE_TICKS = 10 * Ticks.PER_SECOND;

    private final EndpointPoller poller = new EndpointPoller(true, MAX_AGE_TICKS);

    @Test
    void aPushedEndpointListIsNotPolled() {
        assertFalse(new EndpointPoller(false, MAX_AGE_TICKS).startPoll(0));
    }

    @Test
    void theEndpointListIsPolledAtHalfItsMaximumAge() {
        assertTrue(poller.startPoll(0));
        poller.updateReceived(EndpointListKind.SNAPSHOT, 100);
        assertFalse(poller.startPoll(100 + MAX_AGE_TICKS / 2 - 1));
        assertTrue(poller.startPoll(100 + MAX_AGE_TICKS / 2));
    }

    @Test
    void aPollWithoutAResponseIsRepeated() {
        assertTrue(poller.startPoll(0));
        poller.updateReceived(EndpointListKind.CACHED, 1);
        assertFalse(poller.startPoll(5 * Ticks.PER_SECOND - 1));
        assertTrue(poller.startPoll(5 * Ticks.PER_SECOND));
    }

    @Test
    void failuresBackOffUpToFourSeconds() {
        long nowTicks = 0;
        for (long pauseTicks : new long[] {5_000, 10_000, 20_000, 40_000, 40_000}) {
            assertTrue(poller.startPoll(nowTicks));
            poller.updateReceived(EndpointListKind.FAILED, nowTicks);
            assertFalse(poller.startPoll(nowTicks + pauseTicks - 1));
            nowTicks += pauseTicks;
        }
        poller.updateReceived(EndpointListKind.SNAPSHOT, nowTicks);
        poller.updateReceived(EndpointListKind.FAILED, nowTicks);
        assertTrue(poller.startPoll(nowTicks + 5_000), "a success resets the backoff");
    }
}

package laurelkeel.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the parts of the simulated server that need no socket. */
class ServerModelTest {
    /** 200 requests per second when warm; a cold server tolerates twice its current capacity over a window of 1 s. */
    private static final ServerProfile PROFILE =
            new ServerProfile(2, 10, 10, Map.of("r", 100L), Map.of(), 0.1, 50_000, 2, 10_000, 0.2, 1_000, 2_000, 0);

    @Test
    void capacityFollowsCoresAndWork() {
        assertEquals(200, PROFILE.capacityPerSecond());
    }

    @Test
    void coldServerWarmsUpLinearly() {
        WarmUp warmUp = new WarmUp(PROFILE, true, 1_000);
        assertEquals(0.1, warmUp.capacityShare(1_000), 1e-9);
        assertEquals(0.55, warmUp.capacityShare(26_000), 1e-9);
        assertEquals(1, warmUp.capacityShare(99_000), 1e-9);
        assertEquals(1, new WarmUp(PROFILE, false, 1_000).capacityShare(1_000), 1e-9);
    }

    @Test
    void onlyAColdServerIsOverloadedByArrivals() {
        WarmUp cold = new WarmUp(PROFILE, true, 0);
        // 2 x 0.1 x 200 requests, and an allowance of 5 for random variation
        for (int i = 0; i < 45; i++) {
            assertFalse(cold.isOverloadedByArrival(0), "arrival " + i);
        }
        assertTrue(cold.isOverloadedByArrival(0));
        WarmUp warm = new WarmUp(PROFILE, false, 0);
        for (int i = 0; i < 1_000; i++) {
            assertFalse(warm.isOverloadedByArrival(0));
        }
    }

    @Test
    void arrivalsOutsideTheWindowDoNotOverload() {
        WarmUp cold = new WarmUp(PROFILE, true, 0);
        for (long arrivalTicks : new long[] {0, 10_001}) {
            for (int i = 0; i < 45; i++) {
                assertFalse(cold.isOverloadedByArrival(arrivalTicks));
            }
        }
    }

    @Test
    void keyIsCachedForItsLifetime() {
        KeyCache cache = new KeyCache(1_000);
        assertFalse(cache.touch("k", 0));
        assertTrue(cache.touch("k", 999));
        assertFalse(cache.touch("k", 1_999));
    }

    @Test
    void repeatIsDetectedWithinItsWindow() {
        DeduplicationCache cache = new DeduplicationCache();
        assertFalse(cache.isRepeat("m", 0, 1_000));
        assertTrue(cache.isRepeat("m", 1_000, 1_000));
        assertFalse(cache.isRepeat("m", 1_001, 1_000));
        assertFalse(cache.isRepeat("other", 1_001, 1_000));
    }

    @Test
    void loadReportIsRefreshedAtItsInterval() {
        LoadMeter meter = new LoadMeter(2_000);
        meter.addWork(1_000);
        assertEquals("concurrent=3,mean_ms=10.0", meter.report(3, 0));
        assertEquals("concurrent=3,mean_ms=10.0", meter.report(7, 1_999));
        assertEquals("concurrent=7,mean_ms=10.0", meter.report(7, 2_000));
    }

    @Test
    void faultIsActiveUntilItsEnd() {
        ServerFaults faults = new ServerFaults();
        faults.start(ServerFault.SLOW, 1_000, 3);
        assertEquals(3, faults.slowFactor(999));
        assertEquals(1, faults.slowFactor(1_000));
        assertFalse(faults.isActive(ServerFault.HANG, 0));
    }

    @Test
    void senderOfAnAttemptIsParsed() {
        assertEquals(new NodeIdentity(3, "ab/c"), NodeIdentity.parse("3/ab/c"));
        assertEquals(new NodeIdentity(NodeIdentity.UNKNOWN_INDEX, "ab"), NodeIdentity.parse("ab"));
        assertEquals(new NodeIdentity(NodeIdentity.UNKNOWN_INDEX, "null"), NodeIdentity.parse(null));
    }
}

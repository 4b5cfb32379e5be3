package laurelkeel.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import laurelkeel.api.Settings;
import org.junit.jupiter.api.Test;

class SharedExposureLimiterTest {
    private static final int BUILD = 2;

    private final Settings settings = RolloutSimulation.settings(false, 0);
    private final SharedExposureLimiter limiter = new SharedExposureLimiter(settings);

    private void receive(int requests) {
        for (int i = 0; i < requests; i++) {
            limiter.onRequestReceived(0, 0);
        }
    }

    private int acquire(int attempts, boolean enforced) {
        int admitted = 0;
        for (int i = 0; i < attempts; i++) {
            admitted += limiter.tryAcquire(BUILD, 0, 0.1, enforced, 0) ? 1 : 0;
        }
        return admitted;
    }

    @Test
    void attemptsBeyondTheCapOfAllRequestsAreRefused() {
        receive(50);
        // the allowance of 2 attempts, and a tenth of the 50 requests
        assertEquals(7, acquire(20, true));
    }

    @Test
    void attemptsAreCountedEvenIfTheCapIsNotEnforced() {
        receive(50);
        assertEquals(6, acquire(6, false));
        assertEquals(1, acquire(20, true));
    }

    @Test
    void anAttemptIsCountedLongerThanARequest() {
        receive(50);
        assertEquals(7, acquire(7, true));
        long windowTicks = settings.rollout().exposureWindowTicks();
        assertFalse(limiter.tryAcquire(BUILD, 0, 1, true, windowTicks), "the requests are no longer counted");
        assertTrue(limiter.tryAcquire(BUILD, 0, 1, true, windowTicks + 100), "neither are the attempts");
    }

    @Test
    void aRemovedBuildIsCountedFromZeroAgain() {
        receive(50);
        acquire(20, true);
        limiter.retainBuilds(build -> build != BUILD);
        assertEquals(7, acquire(20, true));
    }

    @Test
    void aPartitionsCapTimesItsRequestsEqualsTheCapOfAllRequests() {
        receive(60);
        ExposureWindow partitionRequests = ExposureWindow.ofRequests(settings);
        assertEquals(
                0.3,
                limiter.partitionCap(0.1, partitionRequests, 3, 0),
                1e-12,
                "the cap is scaled by at most the number of partitions");
        for (int i = 0; i < 30; i++) {
            partitionRequests.add(0, 0);
        }
        assertEquals(0.2, limiter.partitionCap(0.1, partitionRequests, 3, 0), 1e-12);
        assertEquals(1, limiter.partitionCap(0.7, partitionRequests, 3, 0));
    }
}

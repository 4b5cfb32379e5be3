package laurelkeel.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.stream.DoubleStream;
import laurelkeel.api.Event.AttemptOutcome;
import org.junit.jupiter.api.Test;

class OutlierDetectorTest {
    /** Returns the health of endpoints whose outcomes are errors with the given probabilities. */
    private static List<EndpointHealth> endpoints(double... errorShares) {
        Random random = new Random(1);
        return DoubleStream.of(errorShares)
                .mapToObj(share -> {
                    EndpointHealth health = new EndpointHealth();
                    for (int i = 0; i < 200; i++) {
                        boolean isError = random.nextDouble() < share;
                        health.record(isError ? AttemptOutcome.FAILED : AttemptOutcome.COMPLETED, false, 0);
                    }
                    return health;
                })
                .toList();
    }

    private static List<Boolean> suspects(List<EndpointHealth> endpoints) {
        return endpoints.stream().map(EndpointHealth::isSuspect).toList();
    }

    @Test
    void theOnlyEndpointWithManyErrorsIsAnOutlier() {
        List<EndpointHealth> endpoints = endpoints(0, 0.9, 0, 0.02);
        assertTrue(OutlierDetector.markErrorOutliers(endpoints));
        assertEquals(List.of(false, true, false, false), suspects(endpoints));
    }

    @Test
    void noEndpointIsAnOutlierIfMostHaveErrors() {
        List<EndpointHealth> endpoints = endpoints(0.7, 0.9, 0.8, 0);
        assertFalse(OutlierDetector.markErrorOutliers(endpoints));
        assertEquals(List.of(false, false, false, false), suspects(endpoints));
    }

    @Test
    void aSingleEndpointIsNoOutlier() {
        assertFalse(OutlierDetector.markErrorOutliers(endpoints(1)));
    }

    @Test
    void aRecoveredEndpointIsNoLongerAnOutlier() {
        List<EndpointHealth> endpoints = endpoints(0, 0.9, 0);
        OutlierDetector.markErrorOutliers(endpoints);
        for (int i = 0; i < 30; i++) {
            endpoints.get(1).record(AttemptOutcome.COMPLETED, false, 0);
        }
        assertFalse(OutlierDetector.markErrorOutliers(endpoints));
        assertFalse(endpoints.get(1).isSuspect());
    }
}

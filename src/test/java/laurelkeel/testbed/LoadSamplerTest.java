package laurelkeel.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import laurelkeel.records.RecordTerms.DeduplicationScope;
import laurelkeel.records.RecordTerms.Idempotency;
import laurelkeel.records.TrafficRecord;
import org.junit.jupiter.api.Test;

class LoadSamplerTest {
    private static final int SAMPLE_COUNT = 10_000;

    private static LoadRoute route(String name, double share) {
        return new LoadRoute(
                name,
                "GET",
                "/" + name,
                new TrafficRecord.RoutePolicy(name, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0),
                10_000,
                share);
    }

    private static LoadSampler sampler(Map<String, Double> tenantShares, double keylessShare) {
        LoadProfile profile = new LoadProfile(
                List.of(route("often", 3), route("rarely", 1)), tenantShares, 100, 50, 0.8, keylessShare, 2, 0, 0);
        return new LoadSampler(profile, 4, 7);
    }

    private static List<Object> sampleAll(LoadSampler sampler) {
        List<Object> samples = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            samples.add(sampler.nextInterArrivalTicks());
            samples.add(sampler.nextRoute().name());
            samples.add(String.valueOf(sampler.nextPartitionKey()));
            samples.add(sampler.nextNodeIndex());
            samples.add(sampler.nextTicks(400));
        }
        return samples;
    }

    @Test
    void sameSeedGivesSameLoad() {
        assertEquals(sampleAll(sampler(Map.of(), 0.1)), sampleAll(sampler(Map.of(), 0.1)));
    }

    @Test
    void arrivalRateFollowsProfileAndFactor() {
        LoadSampler sampler = sampler(Map.of(), 0);
        assertEquals(100, meanInterArrivalTicks(sampler), 5);
        sampler.setRateFactor(4);
        assertEquals(25, meanInterArrivalTicks(sampler), 2);
    }

    private static double meanInterArrivalTicks(LoadSampler sampler) {
        long sum = 0;
        for (int i = 0; i < SAMPLE_COUNT; i++) {
            sum += sampler.nextInterArrivalTicks();
        }
        return sum / (double) SAMPLE_COUNT;
    }

    @Test
    void routesAndTenantsFollowTheirShares() {
        Map<String, Double> tenantShares = new LinkedHashMap<>();
        tenantShares.put("large", 9.0);
        tenantShares.put("small", 1.0);
        LoadSampler sampler = sampler(tenantShares, 0);
        int often = 0;
        int small = 0;
        for (int i = 0; i < SAMPLE_COUNT; i++) {
            often += sampler.nextRoute().name().equals("often") ? 1 : 0;
            small += "small".equals(sampler.nextTenant()) ? 1 : 0;
        }
        assertEquals(0.75, often / (double) SAMPLE_COUNT, 0.02);
        assertEquals(0.1, small / (double) SAMPLE_COUNT, 0.02);
    }

    @Test
    void profileWithoutTenantsOrKeysGivesNone() {
        LoadSampler sampler = sampler(Map.of(), 1);
        assertNull(sampler.nextTenant());
        assertNull(sampler.nextPartitionKey());
    }

    @Test
    void popularKeysAreSampledMoreOften() {
        LoadSampler sampler = sampler(Map.of(), 0);
        int first = 0;
        int last = 0;
        for (int i = 0; i < SAMPLE_COUNT; i++) {
            String key = String.valueOf(sampler.nextPartitionKey());
            first += key.equals("k0") ? 1 : 0;
            last += key.equals("k49") ? 1 : 0;
        }
        assertTrue(first > 5 * last, first + " and " + last);
    }

    @Test
    void hotKeyGetsItsShareUntilItIsReset() {
        LoadSampler sampler = sampler(Map.of(), 0);
        sampler.setHotKey("hot", 0.5);
        assertEquals(0.5, hotShare(sampler), 0.02);
        sampler.setHotKey("hot", 0);
        assertEquals(0, hotShare(sampler));
    }

    private static double hotShare(LoadSampler sampler) {
        int hot = 0;
        for (int i = 0; i < SAMPLE_COUNT; i++) {
            hot += "hot".equals(sampler.nextPartitionKey()) ? 1 : 0;
        }
        return hot / (double) SAMPLE_COUNT;
    }

    @Test
    void nodeGetsItsShareUntilItIsReset() {
        LoadSampler sampler = sampler(Map.of(), 0);
        sampler.setNodeShare(2, 0.7);
        assertEquals(0.7, nodeShare(sampler, 2), 0.02);
        sampler.setNodeShare(2, 0);
        assertEquals(0.25, nodeShare(sampler, 2), 0.02);
    }

    private static double nodeShare(LoadSampler sampler, int nodeIndex) {
        int count = 0;
        for (int i = 0; i < SAMPLE_COUNT; i++) {
            count += sampler.nextNodeIndex() == nodeIndex ? 1 : 0;
        }
        return count / (double) SAMPLE_COUNT;
    }
}

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
    private static final int DRAWS = 10_000;

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

    private static List<Object> draw(LoadSampler sampler) {
        List<Object> drawn = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            drawn.add(sampler.nextInterArrivalTicks());
            drawn.add(sampler.nextRoute().name());
            drawn.add(String.valueOf(sampler.nextPartitionKey()));
            drawn.add(sampler.nextNodeIndex());
            drawn.add(sampler.nextTicks(400));
        }
        return drawn;
    }

    @Test
    void oneSeedGivesOneLoad() {
        assertEquals(draw(sampler(Map.of(), 0.1)), draw(sampler(Map.of(), 0.1)));
    }

    @Test
    void arrivalsKeepTheRateAndItsFactor() {
        LoadSampler sampler = sampler(Map.of(), 0);
        assertEquals(100, meanInterArrivalTicks(sampler), 5);
        sampler.setRateFactor(4);
        assertEquals(25, meanInterArrivalTicks(sampler), 2);
    }

    private static double meanInterArrivalTicks(LoadSampler sampler) {
        long sum = 0;
        for (int i = 0; i < DRAWS; i++) {
            sum += sampler.nextInterArrivalTicks();
        }
        return sum / (double) DRAWS;
    }

    @Test
    void routesAndTenantsFollowTheirShares() {
        Map<String, Double> tenantShares = new LinkedHashMap<>();
        tenantShares.put("large", 9.0);
        tenantShares.put("small", 1.0);
        LoadSampler sampler = sampler(tenantShares, 0);
        int often = 0;
        int small = 0;
        for (int i = 0; i < DRAWS; i++) {
            often += sampler.nextRoute().name().equals("often") ? 1 : 0;
            small += "small".equals(sampler.nextTenant()) ? 1 : 0;
        }
        assertEquals(0.75, often / (double) DRAWS, 0.02);
        assertEquals(0.1, small / (double) DRAWS, 0.02);
    }

    @Test
    void aProfileWithoutTenantsOrKeysGivesNone() {
        LoadSampler sampler = sampler(Map.of(), 1);
        assertNull(sampler.nextTenant());
        assertNull(sampler.nextPartitionKey());
    }

    @Test
    void popularKeysAreDrawnMoreOften() {
        LoadSampler sampler = sampler(Map.of(), 0);
        int first = 0;
        int last = 0;
        for (int i = 0; i < DRAWS; i++) {
            String key = String.valueOf(sampler.nextPartitionKey());
            first += key.equals("k0") ? 1 : 0;
            last += key.equals("k49") ? 1 : 0;
        }
        assertTrue(first > 5 * last, first + " and " + last);
    }

    @Test
    void aHotKeyGetsItsShareUntilItEnds() {
        LoadSampler sampler = sampler(Map.of(), 0);
        sampler.setHotKey("hot", 0.5);
        assertEquals(0.5, hotShare(sampler), 0.02);
        sampler.setHotKey("hot", 0);
        assertEquals(0, hotShare(sampler));
    }

    private static double hotShare(LoadSampler sampler) {
        int hot = 0;
        for (int i = 0; i < DRAWS; i++) {
            hot += "hot".equals(sampler.nextPartitionKey()) ? 1 : 0;
        }
        return hot / (double) DRAWS;
    }

    @Test
    void aNodeGetsItsShareUntilItEnds() {
        LoadSampler sampler = sampler(Map.of(), 0);
        sampler.setNodeShare(2, 0.7);
        assertEquals(0.7, nodeShare(sampler, 2), 0.02);
        sampler.setNodeShare(2, 0);
        assertEquals(0.25, nodeShare(sampler, 2), 0.02);
    }

    private static double nodeShare(LoadSampler sampler, int nodeIndex) {
        int drawn = 0;
        for (int i = 0; i < DRAWS; i++) {
            drawn += sampler.nextNodeIndex() == nodeIndex ? 1 : 0;
        }
        return drawn / (double) DRAWS;
    }
}

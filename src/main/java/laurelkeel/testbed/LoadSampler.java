package laurelkeel.testbed;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import laurelkeel.records.RecordClock;
import org.jspecify.annotations.Nullable;

/**
 * A seeded random source for the clients' behaviour; the same method calls in the same order give the same load. Not
 * thread-safe.
 */
final class LoadSampler {
    private final LoadProfile profile;
    private final SplittableRandom random;
    private final double[] cumulativeKeyWeights;
    private final double[] nodeWeights;
    private double rateFactor = 1;
    private double hotKeyShare;
    private @Nullable String hotKey;

    LoadSampler(LoadProfile profile, int nodeCount, long seed) {
        this.profile = profile;
        this.random = new SplittableRandom(seed);
        this.nodeWeights = new double[nodeCount];
        Arrays.fill(nodeWeights, 1);
        cumulativeKeyWeights = new double[profile.keyCount()];
        double sum = 0;
        for (int i = 0; i < cumulativeKeyWeights.length; i++) {
            sum += 1 / Math.pow(i + 1, profile.keyPopularityExponent());
            cumulativeKeyWeights[i] = sum;
        }
    }

    /** Sets a factor on the profile's call rate from now on. */
    void setRateFactor(double rateFactor) {
        this.rateFactor = rateFactor;
    }

    /** Sends a share of all requests to one node from now on; 0 for an even spread. */
    void setNodeShare(int nodeIndex, double share) {
        double otherWeight = share <= 0 ? 1 : (1 - share) / Math.max(1, nodeWeights.length - 1);
        for (int i = 0; i < nodeWeights.length; i++) {
            nodeWeights[i] = i == nodeIndex && share > 0 ? share : otherWeight;
        }
    }

    /** Assigns a share of all calls with a partition key to one key from now on; 0 ends this. */
    void setHotKey(String key, double share) {
        hotKey = key;
        hotKeyShare = share;
    }

    /** Returns the time from one call's start to the next, exponentially distributed. */
    long nextInterArrivalTicks() {
        double ticks = -Math.log(1 - random.nextDouble())
                / (profile.requestsPerSecond() * rateFactor)
                * RecordClock.TICKS_PER_SECOND;
        return Math.round(ticks);
    }

    LoadRoute nextRoute() {
        return chooseWeighted(profile.routes(), LoadRoute::share);
    }

    @Nullable
    String nextTenant() {
        if (profile.tenantShares().isEmpty()) {
            return null;
        }
        List<Map.Entry<String, Double>> tenants =
                new ArrayList<>(profile.tenantShares().entrySet());
        return chooseWeighted(tenants, Map.Entry::getValue).getKey();
    }

    private <T> T chooseWeighted(List<T> choices, ToDoubleFunction<T> weight) {
        double remaining =
                random.nextDouble() * choices.stream().mapToDouble(weight).sum();
        for (T choice : choices) {
            remaining -= weight.applyAsDouble(choice);
            if (remaining < 0) {
                return choice;
            }
        }
        return choices.get(choices.size() - 1);
    }

    /** Returns the next call's partition key; null for a call without one. */
    @Nullable
    String nextPartitionKey() {
        if (nextBoolean(profile.keylessShare())) {
            return null;
        }
        if (nextBoolean(hotKeyShare)) {
            return hotKey;
        }
        double target = random.nextDouble() * cumulativeKeyWeights[cumulativeKeyWeights.length - 1];
        int found = Arrays.binarySearch(cumulativeKeyWeights, target);
        return "k" + (found < 0 ? -found - 1 : found);
    }

    int nextNodeIndex() {
        double sum = 0;
        for (double weight : nodeWeights) {
            sum += weight;
        }
        double remaining = random.nextDouble() * sum;
        for (int i = 0; i < nodeWeights.length; i++) {
            remaining -= nodeWeights[i];
            if (remaining < 0) {
                return i;
            }
        }
        return nodeWeights.length - 1;
    }

    /** Returns true with the given probability. */
    boolean nextBoolean(double probability) {
        return random.nextDouble() < probability;
    }

    /** Returns a uniformly distributed duration from 0 to below a maximum. */
    long nextTicks(double maxTicks) {
        return (long) (random.nextDouble() * maxTicks);
    }
}

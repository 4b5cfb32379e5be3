package laurelkeel.attribution;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Compares the latencies of a canary's endpoints with those of the reference builds in one second. Not thread-safe. */
final class SecondLatencyComparison {
    /** A route with fewer attempts at reference builds is not compared. */
    private static final int MIN_REFERENCE_ATTEMPTS = 4;

    /** The attempts of one route at one endpoint of the canary. */
    private record EndpointRoute(String endpointId, int route, AttemptCounts counts) {}

    /** The excess of an endpoint's latencies over those of the reference builds, as a sum of logarithms. */
    private static final class Excess {
        private double logSum;
        private double attempts;

        void add(AttemptCounts canary, AttemptCounts reference) {
            logSum += canary.logLatencySum()
                    - canary.timedAttempts() * reference.logLatencySum() / reference.timedAttempts();
            attempts += canary.timedAttempts();
        }

        double mean() {
            return logSum / attempts;
        }
    }

    private final Map<Integer, AttemptCounts> referenceByRoute = new HashMap<>();
    /** By endpoint and route, combined into one string. Latencies are summed in the iteration order of this map. */
    private final Map<String, EndpointRoute> canaryCounts = new HashMap<>();

    void addReference(NodeReport.Cell cell) {
        referenceByRoute
                .computeIfAbsent(cell.route(), unused -> new AttemptCounts())
                .add(cell);
    }

    void addCanary(NodeReport.Cell cell) {
        canaryCounts
                .computeIfAbsent(
                        cell.machine() + "/" + cell.route(),
                        unused -> new EndpointRoute(cell.machine(), cell.route(), new AttemptCounts()))
                .counts()
                .add(cell);
    }

    /**
     * Returns the natural logarithm of the ratio of latencies at the canary's median endpoint; with an even number of
     * endpoints, at the faster of the two middle ones. A single slow endpoint thus does not make the build slow.
     *
     * @return NaN if fewer than two endpoints can be compared
     */
    double medianLogRatio() {
        Map<String, Excess> excessByEndpoint = new TreeMap<>();
        for (EndpointRoute canary : canaryCounts.values()) {
            AttemptCounts reference = referenceByRoute.get(canary.route());
            if (canary.counts().timedAttempts() > 0
                    && reference != null
                    && reference.timedAttempts() >= MIN_REFERENCE_ATTEMPTS) {
                excessByEndpoint
                        .computeIfAbsent(canary.endpointId(), unused -> new Excess())
                        .add(canary.counts(), reference);
            }
        }
        double[] sortedMeans = excessByEndpoint.values().stream()
                .mapToDouble(Excess::mean)
                .sorted()
                .toArray();
        return sortedMeans.length < 2 ? Double.NaN : sortedMeans[(sortedMeans.length - 1) / 2];
    }
}

package laurelkeel.attribution;

import java.util.EnumMap;
import java.util.Map;
import laurelkeel.attribution.AttributionFinding.Kind;

/**
 * The logarithms of the weighted e-values against one build, by kind; the weights sum to 1, so that the sum of the
 * weighted e-values is an e-value.
 */
final class LogEvidence {
    private final Map<Kind, Double> logEValues = new EnumMap<>(Kind.class);

    /** Adds the evidence of a kind. */
    void put(Kind kind, double weight, double logEValue) {
        logEValues.put(kind, Math.log(weight) + logEValue);
    }

    /** The logarithm of the e-value of all kinds together. */
    double total() {
        return LogProbability.logSumExp(
                logEValues.values().stream().mapToDouble(v -> v).toArray());
    }

    /** The kind that speaks most against the build; the first one of those that do so alike. */
    Kind strongestKind() {
        Kind strongest = Kind.FAILS;
        double largest = Double.NEGATIVE_INFINITY;
        for (Map.Entry<Kind, Double> entry : logEValues.entrySet()) {
            if (entry.getValue() > largest) {
                strongest = entry.getKey();
                largest = entry.getValue();
            }
        }
        return strongest;
    }
}

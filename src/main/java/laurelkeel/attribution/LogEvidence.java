package laurelkeel.attribution;

import java.util.EnumMap;
import java.util.Map;
import laurelkeel.attribution.AttributionFinding.Kind;

/**
 * The natural logarithms of the weighted e-values against one build, by kind. The weights sum to 1, so that the sum of
 * the weighted e-values is an e-value too. Not thread-safe.
 */
final class LogEvidence {
    private final Map<Kind, Double> logEValues = new EnumMap<>(Kind.class);

    /** Sets the evidence of one kind. */
    void put(Kind kind, double weight, double logEValue) {
        logEValues.put(kind, Math.log(weight) + logEValue);
    }

    /** Returns the natural logarithm of the e-value of all kinds together. */
    double total() {
        return LogProbability.logSumExp(
                logEValues.values().stream().mapToDouble(v -> v).toArray());
    }

    /** Returns the kind with the strongest evidence against the build; the first one if several are equal. */
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

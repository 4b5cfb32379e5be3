package laurelkeel.attribution;

import java.util.Map;
import java.util.Objects;
import laurelkeel.attribution.AttributionFinding.Kind;
import org.jspecify.annotations.Nullable;

/**
 * What is known of all canaries at one moment.
 *
 * @param evidenceByBuild the evidence of the comparisons side by side
 * @param latencyRanking explanations of the whole fleet's latencies
 * @param badAttemptRanking explanations of the whole fleet's attempts that went wrong
 * @param isOpen whether a regression is open, of one canary or of the whole fleet
 * @param isFleetRegressionOpen whether a regression of the whole fleet is open
 * @param buildToSetAside the canary to roll back in order to learn more, or -1
 */
record Assessment(
        Map<Integer, LogEvidence> evidenceByBuild,
        ExplanationRanking latencyRanking,
        ExplanationRanking badAttemptRanking,
        boolean isOpen,
        boolean isFleetRegressionOpen,
        int buildToSetAside,
        long nowSecond) {

    /** Prior probability that a canary causes a regression. */
    private static final double PRIOR = 0.1;

    LogEvidence evidence(int build) {
        return Objects.requireNonNull(evidenceByBuild.get(build));
    }

    /** The posterior probability that a canary is worse than the reference builds, one canary at most being so. */
    double probabilityByComparison(int build) {
        double logTotal = Math.log(1 - PRIOR);
        for (LogEvidence evidence : evidenceByBuild.values()) {
            logTotal = LogProbability.logSumExp(logTotal, Math.log(PRIOR) + evidence.total());
        }
        return Math.exp(Math.log(PRIOR) + evidence(build).total() - logTotal);
    }

    /** The probability that a canary has a part in a regression of the whole fleet. */
    double probabilityByFleet(int build) {
        return Math.max(latencyRanking.probabilityOf(build), badAttemptRanking.probabilityOf(build));
    }

    /** The likeliest explanation of the whole fleet's state in which a canary has a part, or null. */
    @Nullable
    Explanation fleetExplanation(int build) {
        boolean isStrongerInHits = badAttemptRanking.probabilityOf(build) > latencyRanking.probabilityOf(build);
        return (isStrongerInHits ? badAttemptRanking : latencyRanking).findInvolving(build);
    }

    /** The strongest evidence against a canary. */
    Kind strongestKind(int build) {
        boolean isFleetStronger =
                fleetExplanation(build) != null && probabilityByFleet(build) > probabilityByComparison(build);
        return isFleetStronger ? Kind.HARMS_ALL : evidence(build).strongestKind();
    }
}

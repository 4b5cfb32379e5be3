package laurelkeel.attribution;

import java.util.Map;
import java.util.Objects;
import laurelkeel.attribution.AttributionFinding.Kind;
import org.jspecify.annotations.Nullable;

/**
 * The evidence about all canaries at one moment.
 *
 * @param evidenceByBuild for each canary, including those set aside, the evidence from its comparison with the
 *     reference builds
 * @param latencyRanking explanations of the whole fleet's latencies
 * @param badAttemptRanking explanations of the whole fleet's failed, unanswered and wrong attempts
 * @param isOpen whether a regression of one canary or of the whole fleet is open or suspected
 * @param isFleetRegressionOpen whether a regression of the whole fleet is open
 * @param buildToSetAside the canary to roll back to see whether the regression ends with it, or -1
 * @param nowSecond the current second on the rollout service's clock
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

    /**
     * Returns the posterior probability that a canary is worse than the reference builds, assuming that at most one
     * canary is.
     */
    double probabilityByComparison(int build) {
        double logTotal = Math.log(1 - PRIOR);
        for (LogEvidence evidence : evidenceByBuild.values()) {
            logTotal = LogProbability.logSumExp(logTotal, Math.log(PRIOR) + evidence.total());
        }
        return Math.exp(Math.log(PRIOR) + evidence(build).total() - logTotal);
    }

    /** Returns the probability that a canary contributes to a regression of the whole fleet. */
    double probabilityByFleet(int build) {
        return Math.max(latencyRanking.probabilityOf(build), badAttemptRanking.probabilityOf(build));
    }

    /** Returns the most probable explanation of the whole fleet's state that involves a canary, or null. */
    @Nullable
    Explanation fleetExplanation(int build) {
        boolean isBadAttemptEvidenceStronger =
                badAttemptRanking.probabilityOf(build) > latencyRanking.probabilityOf(build);
        return (isBadAttemptEvidenceStronger ? badAttemptRanking : latencyRanking).findInvolving(build);
    }

    /** Returns the kind of the strongest evidence against a canary. */
    Kind strongestKind(int build) {
        boolean isFleetStronger =
                fleetExplanation(build) != null && probabilityByFleet(build) > probabilityByComparison(build);
        return isFleetStronger ? Kind.HARMS_ALL : evidence(build).strongestKind();
    }
}

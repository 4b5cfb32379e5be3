package laurelkeel.attribution;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import laurelkeel.attribution.AttributionFinding.Kind;
import laurelkeel.attribution.AttributionFinding.Verdict;
import org.jspecify.annotations.Nullable;

/** Creates the finding on a canary, with the sentences for operators. */
final class FindingFactory {
    /** Half width of a 95% confidence interval, in standard errors. */
    private static final double CONFIDENCE_ERRORS = 1.96;

    /** An e-value below this limit does not prevent clearing a canary. */
    private static final double MAX_CLEARED_E_VALUE = 3;

    private static final double PERCENT = 100;

    private FindingFactory() {}

    static AttributionFinding create(CanaryComparison canary, Assessment assessment) {
        int build = canary.build();
        Kind regressionKind = canary.regressionKind();
        Kind kind = regressionKind != null ? regressionKind : assessment.strongestKind(build);
        Estimate effect = effect(canary, kind, assessment.fleetExplanation(build));
        Verdict verdict = verdict(canary, assessment);
        return new AttributionFinding(
                build,
                verdict,
                Math.max(assessment.probabilityByComparison(build), assessment.probabilityByFleet(build)),
                kind,
                effect.value(),
                effect.low(),
                effect.high(),
                evidenceSentence(canary, kind, effect, verdict),
                considered(canary, assessment),
                assessment.isOpen() && verdict != Verdict.GUILTY,
                build == assessment.buildToSetAside(),
                Math.max(0, assessment.nowSecond() - canary.startedAtSecond()));
    }

    private static Verdict verdict(CanaryComparison canary, Assessment assessment) {
        if (canary.hasAttributedRegression()) {
            return Verdict.GUILTY;
        }
        boolean isCleared = !assessment.isFleetRegressionOpen()
                && assessment.evidence(canary.build()).total() < Math.log(MAX_CLEARED_E_VALUE)
                && ClearanceRule.isCleared(canary);
        return isCleared ? Verdict.CLEARED : Verdict.NOT_YET_KNOWN;
    }

    private static Estimate effect(CanaryComparison canary, Kind kind, @Nullable Explanation fleetExplanation) {
        return switch (kind) {
            case FAILS -> canary.shareDifference(BadOutcome.FAILED, CONFIDENCE_ERRORS);
            case SILENCE -> canary.shareDifference(BadOutcome.UNANSWERED, CONFIDENCE_ERRORS);
            case WRONG -> canary.shareDifference(BadOutcome.WRONG, CONFIDENCE_ERRORS);
            case SLOW -> canary.latencyRatio(CONFIDENCE_ERRORS);
            case HARMS_ALL -> fleetExplanation == null ? Estimate.NONE : ratio(fleetExplanation.effect());
        };
    }

    private static Estimate ratio(Estimate logRatio) {
        return new Estimate(Math.exp(logRatio.value()), Math.exp(logRatio.low()), Math.exp(logRatio.high()));
    }

    private static List<String> considered(CanaryComparison canary, Assessment assessment) {
        List<String> sentences = new ArrayList<>(canary.exclusions());
        if (!assessment.latencyRanking().isNoneMostProbable()) {
            sentences.add(
                    "the times of all builds: " + assessment.latencyRanking().describe());
        }
        if (!assessment.badAttemptRanking().isNoneMostProbable()) {
            sentences.add("the trouble of all builds: "
                    + assessment.badAttemptRanking().describe());
        }
        if (canary.isBadOnlyWithOtherCanaries()) {
            sentences.add("it was well while no other release had traffic: bad only together with one");
        }
        if (sentences.isEmpty()) {
            sentences.add("no machine, customer or outside spell stands out");
        }
        return List.copyOf(sentences);
    }

    private static String evidenceSentence(CanaryComparison canary, Kind kind, Estimate effect, Verdict verdict) {
        return "build " + canary.build() + " " + describeVerdict(verdict) + ": " + describeEffect(kind, effect)
                + " in the last " + canary.recentSecondsWithAttempts() + " s, " + canary.recentAttempts() + " tries";
    }

    private static String describeVerdict(Verdict verdict) {
        return switch (verdict) {
            case GUILTY -> "is to blame";
            case CLEARED -> "does no harm";
            case NOT_YET_KNOWN -> "is not yet known";
        };
    }

    private static String describeEffect(Kind kind, Estimate effect) {
        return switch (kind) {
            case FAILS -> format("of its tries %.1f in 100 more fail than beside it (%.1f to %.1f)", effect, PERCENT);
            case SILENCE ->
                format("of its tries %.1f in 100 more get no answer than beside it (%.1f to %.1f)", effect, PERCENT);
            case WRONG ->
                format(
                        "of its answers %.1f in 100 more are complained of than beside it (%.1f to %.1f)",
                        effect, PERCENT);
            case SLOW -> format("its answers take %.2f times as long as beside it (%.2f to %.2f)", effect, 1);
            case HARMS_ALL ->
                format("all builds get worse in step with its traffic, times to %.2f (%.2f to %.2f)", effect, 1);
        };
    }

    private static String format(String pattern, Estimate effect, double factor) {
        return String.format(
                Locale.ROOT, pattern, effect.value() * factor, effect.low() * factor, effect.high() * factor);
    }
}

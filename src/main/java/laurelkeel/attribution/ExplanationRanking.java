package laurelkeel.attribution;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import laurelkeel.attribution.Explanation.Cause;
import org.jspecify.annotations.Nullable;

/** The explanations of the whole fleet's levels in the last minute, the most probable one first. Immutable. */
final class ExplanationRanking {
    /** Level above which a regression matters: a latency ratio of about 1.28. */
    static final double MIN_EFFECT = 0.25;

    private static final double ATTRIBUTION_PROBABILITY = 0.995;
    private static final int MIN_ATTRIBUTION_SECONDS = 14;
    private static final double MAX_PROBABILITY_OF_NONE = 0.1;
    private static final double MIN_PROBABILITY_TO_MENTION = 0.02;

    private final List<Explanation> explanations;

    /** @param explanations at least one; equally probable explanations stay in this order */
    ExplanationRanking(List<Explanation> explanations) {
        this.explanations = explanations.stream()
                .sorted(Comparator.comparingDouble(Explanation::probability).reversed())
                .toList();
    }

    Explanation best() {
        return explanations.get(0);
    }

    /** Returns the probability that a build contributes to the regression, alone or together with another build. */
    double probabilityOf(int build) {
        return explanations.stream()
                .filter(explanation -> explanation.involves(build))
                .mapToDouble(Explanation::probability)
                .sum();
    }

    /** Returns the most probable explanation that involves a build, or null. */
    @Nullable
    Explanation findInvolving(int build) {
        for (Explanation explanation : explanations) {
            if (explanation.involves(build)) {
                return explanation;
            }
        }
        return null;
    }

    /**
     * Returns the builds that almost certainly cause a regression which has lasted long enough; empty if there are
     * none.
     */
    List<Integer> attributedBuilds() {
        boolean hasLasted = best().affectedSeconds() >= MIN_ATTRIBUTION_SECONDS && isLarge();
        if (!hasLasted) {
            return List.of();
        }
        return best().builds().stream()
                .filter(build -> probabilityOf(build) >= ATTRIBUTION_PROBABILITY)
                .toList();
    }

    private boolean isLarge() {
        return best().effect().value() > MIN_EFFECT;
    }

    /** Returns whether there is a large regression, regardless of its cause. */
    boolean isRegression() {
        double probabilityOfNone = 0;
        for (Explanation explanation : explanations) {
            if (explanation.cause() == Cause.NONE) {
                probabilityOfNone += explanation.probability();
            }
        }
        return probabilityOfNone < MAX_PROBABILITY_OF_NONE && isLarge();
    }

    /** Returns whether the most probable explanation is that there is no regression. */
    boolean isNoneMostProbable() {
        return best().cause() == Cause.NONE;
    }

    /** Describes the probable explanations for operators, each with its probability. */
    String describe() {
        return explanations.stream()
                .filter(explanation -> explanation.probability() > MIN_PROBABILITY_TO_MENTION)
                .map(explanation ->
                        String.format(Locale.ROOT, "%s %.2f", describe(explanation), explanation.probability()))
                .collect(Collectors.joining(", "));
    }

    private static String describe(Explanation explanation) {
        return switch (explanation.cause()) {
            case NONE -> "nothing";
            case TRANSIENT -> "an outside spell of " + explanation.affectedSeconds() + " s";
            case BUILDS ->
                "build " + explanation.builds().stream().map(String::valueOf).collect(Collectors.joining(" with "));
        };
    }
}

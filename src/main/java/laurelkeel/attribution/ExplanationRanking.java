package laurelkeel.attribution;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import laurelkeel.attribution.Explanation.Cause;
import org.jspecify.annotations.Nullable;

/** The explanations of how the whole fleet did in the last minute, the likeliest one first. Immutable. */
final class ExplanationRanking {
    /** Level from which a regression matters: a latency ratio of about 1.28. */
    static final double MIN_EFFECT = 0.25;

    private static final double GUILTY_PROBABILITY = 0.995;
    private static final int MIN_GUILTY_SECONDS = 14;
    private static final double MAX_PROBABILITY_OF_NONE = 0.1;
    private static final double MIN_PROBABILITY_TO_MENTION = 0.02;

    private final List<Explanation> explanations;

    /** @param explanations at least one; in the order of which those that are equally likely remain */
    ExplanationRanking(List<Explanation> explanations) {
        this.explanations = explanations.stream()
                .sorted(Comparator.comparingDouble(Explanation::probability).reversed())
                .toList();
    }

    Explanation best() {
        return explanations.get(0);
    }

    /** The probability that a build has a part in the regression, alone or with another one. */
    double probabilityOf(int build) {
        return explanations.stream()
                .filter(explanation -> explanation.involves(build))
                .mapToDouble(Explanation::probability)
                .sum();
    }

    /** The likeliest explanation that a build has a part in, or null. */
    @Nullable
    Explanation findInvolving(int build) {
        for (Explanation explanation : explanations) {
            if (explanation.involves(build)) {
                return explanation;
            }
        }
        return null;
    }

    /** The builds that surely have a part in a regression which has lasted; empty for none. */
    List<Integer> guiltyBuilds() {
        boolean hasLasted = best().affectedSeconds() >= MIN_GUILTY_SECONDS && isLarge();
        if (!hasLasted) {
            return List.of();
        }
        return best().builds().stream()
                .filter(build -> probabilityOf(build) >= GUILTY_PROBABILITY)
                .toList();
    }

    private boolean isLarge() {
        return best().effect().value() > MIN_EFFECT;
    }

    /** Whether there is a regression, whatever its cause. */
    boolean isRegression() {
        double probabilityOfNone = 0;
        for (Explanation explanation : explanations) {
            if (explanation.cause() == Cause.NONE) {
                probabilityOfNone += explanation.probability();
            }
        }
        return probabilityOfNone < MAX_PROBABILITY_OF_NONE && isLarge();
    }

    /** Whether the likeliest explanation is that there is no regression. */
    boolean isNoneLikeliest() {
        return best().cause() == Cause.NONE;
    }

    /** The likely explanations in words for people, with their probabilities. */
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

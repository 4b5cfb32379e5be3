package laurelkeel.bench;

import java.util.Comparator;
import java.util.List;

/** Simple rules that name the bad release of a day, as a reference for the attribution. */
final class NaiveRules {
    /** The result of a rule that names no build. */
    static final int NO_BUILD = -1;

    private static final int MIN_REQUESTS = 30;
    /** Critical value of the standard normal distribution for a two-sided test at the 1% level. */
    private static final double MIN_Z_SCORE = 2.58;

    private static final double MIN_VARIANCE = 1e-9;

    private NaiveRules() {}

    /** Returns the release with the highest share of bad outcomes. */
    static int worstRate(List<GeneratedRelease> releases) {
        return releases.stream()
                .filter(release -> release.ownOutcomes().requests() > 0)
                .max(Comparator.comparingDouble(release -> release.ownOutcomes().share()))
                .map(GeneratedRelease::build)
                .orElse(NO_BUILD);
    }

    /** Returns the release that started last. */
    static int newest(List<GeneratedRelease> releases, long now) {
        return releases.stream()
                .filter(release -> release.startsAt() <= now)
                .map(GeneratedRelease::build)
                .max(Integer::compare)
                .orElse(NO_BUILD);
    }

    /**
     * Returns the first release whose share of bad outcomes is significantly higher than that of all other traffic.
     * Each release is tested alone, without regard to the others.
     */
    static int testedAlone(List<GeneratedRelease> releases) {
        for (GeneratedRelease release : releases) {
            BadOutcomeRate own = release.ownOutcomes();
            BadOutcomeRate others = release.otherOutcomes();
            boolean hasEnough = own.requests() >= MIN_REQUESTS && others.requests() >= MIN_REQUESTS;
            if (hasEnough && zScore(own, others) > MIN_Z_SCORE) {
                return release.build();
            }
        }
        return NO_BUILD;
    }

    private static double zScore(BadOutcomeRate own, BadOutcomeRate others) {
        double pooled = (own.badOutcomes() + others.badOutcomes()) / (own.requests() + others.requests());
        double variance = pooled * (1 - pooled) * (1 / own.requests() + 1 / others.requests());
        return (own.share() - others.share()) / Math.sqrt(Math.max(MIN_VARIANCE, variance));
    }
}

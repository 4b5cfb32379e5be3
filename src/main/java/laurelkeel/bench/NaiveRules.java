package laurelkeel.bench;

import java.util.Comparator;
import java.util.List;

/** Simple ways to name the bad release of a day, which the attribution is held against. */
final class NaiveRules {
    /** What a rule returns that names no build. */
    static final int NO_BUILD = -1;

    private static final int MIN_REQUESTS = 30;
    /** The two-sided 99% quantile of the normal distribution. */
    private static final double MIN_Z_SCORE = 2.58;

    private static final double MIN_VARIANCE = 1e-9;

    private NaiveRules() {}

    /** The release with the highest share of hits. */
    static int worstRate(List<GeneratedRelease> releases) {
        return releases.stream()
                .filter(release -> release.ownHits().requests() > 0)
                .max(Comparator.comparingDouble(release -> release.ownHits().share()))
                .map(GeneratedRelease::build)
                .orElse(NO_BUILD);
    }

    /** The release that started last. */
    static int newest(List<GeneratedRelease> releases, long now) {
        return releases.stream()
                .filter(release -> release.startsAt() <= now)
                .map(GeneratedRelease::build)
                .max(Integer::compare)
                .orElse(NO_BUILD);
    }

    /** The first release whose share of hits is above all other traffic's, each release tested by itself. */
    static int testedAlone(List<GeneratedRelease> releases) {
        for (GeneratedRelease release : releases) {
            HitRate own = release.ownHits();
            HitRate others = release.otherHits();
            boolean hasEnough = own.requests() >= MIN_REQUESTS && others.requests() >= MIN_REQUESTS;
            if (hasEnough && zScore(own, others) > MIN_Z_SCORE) {
                return release.build();
            }
        }
        return NO_BUILD;
    }

    private static double zScore(HitRate own, HitRate others) {
        double pooled = (own.hits() + others.hits()) / (own.requests() + others.requests());
        double variance = pooled * (1 - pooled) * (1 / own.requests() + 1 / others.requests());
        return (own.share() - others.share()) / Math.sqrt(Math.max(MIN_VARIANCE, variance));
    }
}

package laurelkeel.attribution;

import java.util.HashMap;
import java.util.Map;

/**
 * Evidence that one build has more of one kind of hit (fails, silences, wrong answers) than the build beside it, as an
 * e-value: 1 where nothing speaks, and above 1/a with chance at most a, ever, where the build is no worse.
 */
final class CountEvidence {
    /** Odds ratios that might be true, and the one that is let pass. */
    private static final double[] OVER = {2, 4, 10, 40};

    static final double LET_PASS = 1.25;
    private static final int FRONTS_TO_SPARE = 4;

    private final int routes;
    /** One a front: places by route and odds ratio; the last route's place is for all routes. */
    private final Map<Integer, ChangePointMixture> byFront = new HashMap<>();

    private int seconds, fronts;

    CountEvidence(int routes) {
        this.routes = routes;
    }

    /** @param reporting fronts that reported in the second */
    void next(int reporting) {
        seconds++;
        fronts = Math.max(fronts, reporting);
        byFront.values().forEach(ChangePointMixture::next);
    }

    /** One front's second of one route: the build's own and both builds' together. */
    void add(int front, int route, int hits, int tries, int hitsAll, int triesAll) {
        if (hitsAll == 0 || tries == 0 || tries == triesAll) {
            return;
        }
        ChangePointMixture s = byFront.computeIfAbsent(front, f -> {
            ChangePointMixture fresh = new ChangePointMixture((routes + 1) * OVER.length);
            for (int i = 0; i < seconds; i++) {
                fresh.next();
            }
            return fresh;
        });
        for (int o = 0; o < OVER.length; o++) {
            double by = OddsRatioEvidence.logRatio(hits, tries, hitsAll, triesAll, OVER[o], LET_PASS);
            s.add(route * OVER.length + o, by);
            s.add(routes * OVER.length + o, by);
        }
    }

    /** The logarithm of the e-value. The front that speaks loudest is left out where there are several. */
    double logE() {
        if (byFront.isEmpty()) {
            return 0;
        }
        boolean spare = fronts >= FRONTS_TO_SPARE;
        int starts = byFront.values().iterator().next().count();
        double best = Double.NEGATIVE_INFINITY;
        double[] terms = new double[starts * (routes + 1) * OVER.length];
        int n = 0;
        for (int k = 0; k < starts; k++) {
            double part = byFront.values().iterator().next().logPart(k);
            for (int r = 0; r <= routes; r++) {
                for (int o = 0; o < OVER.length; o++) {
                    double sum = 0, most = 0;
                    for (ChangePointMixture s : byFront.values()) {
                        double v = s.since(k, r * OVER.length + o);
                        sum += v;
                        most = Math.max(most, v);
                    }
                    // half for all routes together, half among the single ones
                    double scope = r == routes ? Math.log(0.5) : Math.log(0.5 / routes);
                    terms[n] = part + scope - Math.log(OVER.length) + (spare ? sum - most : sum);
                    best = Math.max(best, terms[n++]);
                }
            }
        }
        return LogArithmetic.sum(terms, n, best);
    }
}

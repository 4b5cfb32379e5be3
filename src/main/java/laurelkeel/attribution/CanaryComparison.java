package laurelkeel.attribution;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.IntPredicate;

/** One release on trial held against the builds beside it, second by second. */
final class CanaryComparison {
    private static final int WINDOW = 30;
    private static final int LEAST_RATED = 4;

    /** One second's comparison of this build with those beside it, like with like. */
    private static final class Compared {
        final double[] lead = new double[3], spread = new double[3], even = new double[3];
        double logRatio = Double.NaN;
        int tries;
    }

    final int build;
    final long since;
    private final CountEvidence[] counted = new CountEvidence[3];
    private final LatencyEvidence calm = new LatencyEvidence(), busy = new LatencyEvidence();
    private final ArrayDeque<Compared> last = new ArrayDeque<>();
    private final ArrayDeque<Double> calmRatios = new ArrayDeque<>(), busyRatios = new ArrayDeque<>();
    final Set<String> sick = new HashSet<>();
    final Set<Integer> badCustomers = new HashSet<>();
    private int seconds;
    private final AttemptCounts apart = new AttemptCounts(), together = new AttemptCounts();
    long guiltyAt = -1;
    AttributionFinding.Kind guiltyKind;

    CanaryComparison(int build, long since, int routes) {
        this.build = build;
        this.since = since;
        for (int i = 0; i < counted.length; i++) {
            counted[i] = new CountEvidence(routes);
        }
    }

    /**
     * @param beside builds not on trial
     * @param othersOn whether other releases had traffic too
     */
    void next(
            ReportAggregator.Second s,
            IntPredicate beside,
            RecentCounts recent,
            boolean othersOn,
            LoadClassifier.Is load) {
        seconds++;
        for (CountEvidence c : counted) {
            c.next(s.byFront().size());
        }
        String outHere = recent.sickMachine(build);
        boolean several = recent.machines(build) > 1;
        int customer = recent.badCustomer(build);
        Set<String> out = new HashSet<>();
        if (outHere != null) {
            out.add(outHere);
            sick.add(outHere);
        }
        if (customer >= 0) {
            badCustomers.add(customer);
        }
        Compared now = new Compared();
        Map<Integer, AttemptCounts[]> all = new TreeMap<>();
        Map<String, AttemptCounts> machines = new HashMap<>();
        Map<Integer, Boolean> checked = new HashMap<>();
        Set<String> silentOut = new HashSet<>();
        silentOut.add(recent.mostSilent(build));
        s.byFront().forEach((front, cells) -> {
            Map<Integer, AttemptCounts[]> routes = new TreeMap<>();
            for (NodeReport.Cell c : cells) {
                boolean own = c.build() == build;
                if ((!own
                                && !checked.computeIfAbsent(c.build(), b -> {
                                    boolean measure = beside.test(b);
                                    if (measure) {
                                        out.add(recent.sickMachine(b));
                                        silentOut.add(recent.mostSilent(b));
                                    }
                                    return measure;
                                }))
                        || out.contains(c.machine())
                        || (customer >= 0 && c.customer() == customer)) {
                    continue;
                }
                AttemptCounts[] sides = routes.computeIfAbsent(
                        c.route(), k -> new AttemptCounts[] {new AttemptCounts(), new AttemptCounts()});
                sides[own ? 0 : 1].add(c);
                AttemptCounts[] total = all.computeIfAbsent(
                        c.route(), k -> new AttemptCounts[] {new AttemptCounts(), new AttemptCounts()});
                total[own ? 0 : 1].add(c);
                if (own) {
                    machines.computeIfAbsent(c.machine() + "/" + c.route(), k -> new AttemptCounts())
                            .add(c);
                    now.tries += c.tries();
                    (othersOn ? together : apart).add(c);
                }
            }
            routes.forEach((route, t) -> {
                compare(front, route, t[0], t[1], AttemptCounts.FAILS, now);
                compare(front, route, t[0], t[1], AttemptCounts.WRONG, now);
            });
            if (several) {
                // a machine that says nothing says nothing of its build: the worst of each is left out
                silences(front, cells, beside, silentOut, now);
            }
        });
        now.logRatio = slower(all, machines, recent);
        // slow only when busy is slow: by itself, or the calm seconds would hide it
        calm.next(load == LoadClassifier.Is.BUSY ? Double.NaN : now.logRatio);
        busy.next(load == LoadClassifier.Is.CALM ? Double.NaN : now.logRatio);
        if (!Double.isNaN(now.logRatio)) {
            keep(calmRatios, load != LoadClassifier.Is.BUSY, now.logRatio);
            keep(busyRatios, load != LoadClassifier.Is.CALM, now.logRatio);
        }
        last.addLast(now);
        if (last.size() > WINDOW) {
            last.pollFirst();
        }
    }

    private static void keep(ArrayDeque<Double> in, boolean belongs, double ratio) {
        if (belongs) {
            in.addLast(ratio);
            if (in.size() > WINDOW) {
                in.pollFirst();
            }
        }
    }

    private void silences(int front, List<NodeReport.Cell> cells, IntPredicate beside, Set<String> out, Compared now) {
        Map<Integer, AttemptCounts[]> routes = new TreeMap<>();
        for (NodeReport.Cell c : cells) {
            if ((c.build() == build || beside.test(c.build())) && !out.contains(c.machine())) {
                routes
                        .computeIfAbsent(
                                c.route(), k -> new AttemptCounts[] {new AttemptCounts(), new AttemptCounts()})[
                        c.build() == build ? 0 : 1]
                        .add(c);
            }
        }
        routes.forEach((route, t) -> compare(front, route, t[0], t[1], AttemptCounts.SILENT, now));
    }

    private void compare(int front, int route, AttemptCounts own, AttemptCounts other, int k, Compared now) {
        int all = own.tries + other.tries;
        if (own.tries == 0 || other.tries == 0) {
            return;
        }
        double even = own.tries * (double) other.tries / all;
        now.even[k] += even;
        int hits = own.hits[k] + other.hits[k];
        counted[k].add(front, route, own.hits[k], own.tries, hits, all);
        now.lead[k] += even * (own.hits[k] / (double) own.tries - other.hits[k] / (double) other.tries);
        double share = (hits + 0.5) / (all + 1.0);
        now.spread[k] += even * share * (1 - share);
    }

    /**
     * How much slower, by the logarithm of the ratio of times, on the least slow half of the machines: one slow
     * machine is no build. NaN where that cannot be told.
     */
    private double slower(Map<Integer, AttemptCounts[]> all, Map<String, AttemptCounts> machines, RecentCounts recent) {
        if (recent.machines(build) < 2) {
            return Double.NaN;
        }
        Map<String, double[]> byMachine = new TreeMap<>();
        machines.forEach((name, t) -> {
            int cut = name.lastIndexOf('/');
            AttemptCounts[] route = all.get(Integer.parseInt(name.substring(cut + 1)));
            if (t.rated > 0 && route[1].rated >= LEAST_RATED) {
                double[] sum = byMachine.computeIfAbsent(name.substring(0, cut), k -> new double[2]);
                sum[0] += t.logTime - t.rated * route[1].logTime / route[1].rated;
                sum[1] += t.rated;
            }
        });
        double[] means = byMachine.values().stream()
                .mapToDouble(v -> v[0] / v[1])
                .sorted()
                .toArray();
        return means.length < 2 ? Double.NaN : means[(means.length - 1) / 2];
    }

    /** The logarithm of the e-value of each kind, weighed so that their sum is one e-value. */
    double[] logE() {
        return new double[] {
            Math.log(0.4) + counted[0].logE(),
            Math.log(0.15) + counted[1].logE(),
            Math.log(0.2) + counted[2].logE(),
            Math.log(0.125) + LogArithmetic.sum(calm.logE(), busy.logE())
        };
    }

    int tries() {
        return last.stream().mapToInt(c -> c.tries).sum();
    }

    int secondsSeen() {
        return (int) last.stream().filter(c -> c.tries > 0).count();
    }

    /** The difference of shares over the last seconds, with its limits at so many standard errors. */
    double[] difference(int kind, double errors) {
        double lead = 0, even = 0, spread = 0;
        for (Compared c : last) {
            lead += c.lead[kind];
            even += c.even[kind];
            spread += c.spread[kind];
        }
        double mean = even == 0 ? 0 : lead / even;
        double doubt = even == 0 ? 1 : errors * Math.sqrt(spread) / even;
        return new double[] {mean, mean - doubt, mean + doubt};
    }

    /** The ratio of times over the last seconds, with its limits; in the calm or the busy ones, where it is worse. */
    double[] ratio(double errors) {
        double[] calm = ratio(calmRatios, errors), busy = ratio(busyRatios, errors);
        return calm[2] > busy[2] ? calm : busy;
    }

    private static double[] ratio(ArrayDeque<Double> of, double errors) {
        double[] d = of.stream().mapToDouble(v -> v).toArray();
        if (d.length < 4) {
            return new double[] {1, 0, Double.POSITIVE_INFINITY};
        }
        double mean = java.util.Arrays.stream(d).average().orElse(0);
        double spread =
                java.util.Arrays.stream(d).map(v -> (v - mean) * (v - mean)).sum() / (d.length - 1);
        double doubt = errors * Math.sqrt(3 * Math.max(spread, 0.0025) / d.length);
        return new double[] {Math.exp(mean), Math.exp(mean - doubt), Math.exp(mean + doubt)};
    }

    /** Whether it was well while alone and is not while other releases have traffic too. */
    boolean onlyTogether() {
        return apart.tries >= 50
                && together.tries >= 20
                && together.rate() > 0.02
                && apart.rate() * 8 < together.rate();
    }

    List<String> setAside() {
        List<String> out = new ArrayList<>();
        sick.forEach(m -> out.add("machine " + m + " alone had most of this build's trouble: left out"));
        badCustomers.forEach(c -> out.add("customer " + c + " has as much trouble on other builds: left out"));
        return out;
    }
}

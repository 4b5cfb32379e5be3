package laurelkeel.attribution;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.IntPredicate;
import org.apache.commons.math3.util.FastMath;

/**
 * Harm to all machines alike, which no comparison side by side can show: explanations held against each other by how
 * well each tells the course of the last minute. Nothing; an outside spell from some second to another; one release,
 * in step with its share of the traffic; two releases, in step with the product of theirs.
 */
final class FleetWideRegressionDetector {
    private static final int KEPT = 60, LEAST = 10, MOST_SPELLS = 4;
    /** Outside spells seldom last: their mean, in seconds. What lasts on is more and more surely inside. */
    private static final double SPELL = 6;

    private static final double OF_NONE = 0.80, OF_SPELL = 0.15, OF_RELEASES = 0.04, OF_PAIRS = 0.01;
    /** Seconds that follow each other are alike: so many count as one. */
    private static final double ALIKE = 2;
    /** Harm that matters: this much of the logarithm of the times, or of the share of hits in hundredths. */
    private static final double MATTERS = 0.25;

    private static final double SURE = 0.995;
    private static final int LASTS = 14;

    /** What one second showed on builds not on trial, and the share of the traffic that each build had. */
    private record Course(double load, Map<Integer, double[]> byRoute, Map<Integer, Double> shares) {}

    /**
     * An explanation: the releases it names (none for nothing and for a spell), and its probability; for a spell that
     * is over, from which second kept to which.
     */
    record Explained(
            List<Integer> releases,
            boolean spell,
            double probability,
            double size,
            double low,
            double high,
            int lasted,
            int[] over) {}

    private final ArrayDeque<Course> kept = new ArrayDeque<>();

    void next(ReportAggregator.Second s, IntPredicate beside, RecentCounts recent) {
        Map<Integer, Set<String>> out = new TreeMap<>();
        Map<Integer, Integer> badCustomers = new TreeMap<>();
        Map<Integer, double[]> routes = new TreeMap<>();
        Map<Integer, Double> shares = new TreeMap<>();
        double[] all = new double[1];
        s.byFront()
                .values()
                .forEach(cells -> cells.forEach(c -> {
                    all[0] += c.tries();
                    shares.merge(c.build(), (double) c.tries(), Double::sum);
                    if (beside.test(c.build())
                            && !out.computeIfAbsent(c.build(), recent::outOfOrder)
                                    .contains(c.machine())
                            && c.customer() != badCustomers.computeIfAbsent(c.build(), recent::standingOut)) {
                        double[] r = routes.computeIfAbsent(c.route(), k -> new double[4]);
                        r[0] += c.rated();
                        r[1] += c.logTime();
                        r[2] += c.tries();
                        r[3] += c.fails() + c.silent() + c.wrongs();
                    }
                }));
        if (all[0] > 0) {
            shares.replaceAll((b, n) -> n / all[0]);
            kept.addLast(new Course(all[0], routes, shares));
            if (kept.size() > KEPT) {
                kept.pollFirst();
            }
        }
    }

    /** The likeliest explanations of the course of times (false: of hits), best first. */
    List<Explained> explain(boolean times, List<Integer> trials) {
        List<Course> course =
                new ArrayList<>(kept.stream().filter(c -> !c.byRoute.isEmpty()).toList());
        Map<Integer, double[]> shares = new TreeMap<>();
        trials.forEach(b -> shares.put(b, smooth(course, b)));
        boolean[] out = new boolean[course.size()];
        List<Explained> first = null;
        for (int spells = 0; spells <= MOST_SPELLS; spells++) {
            List<Explained> ranked = explain(course, out, shares, times, trials);
            first = first == null ? ranked : first;
            Explained best = ranked.get(0);
            if (!best.spell || best.probability < 0.5 || best.over == null) {
                return ranked;
            }
            // a spell that has come and gone is set aside, or it would hide what lasts
            for (int i = best.over[0]; i < best.over[1]; i++) {
                out[i] = true;
            }
        }
        return first;
    }

    /** A build's share of the traffic, without the chance of single seconds and with its steps. */
    private static double[] smooth(List<Course> course, int build) {
        double[] out = new double[course.size()];
        for (int i = 0; i < out.length; i++) {
            double[] around = new double[5];
            for (int k = -2; k <= 2; k++) {
                around[k + 2] = course.get(Math.max(0, Math.min(out.length - 1, i + k)))
                        .shares
                        .getOrDefault(build, 0.0);
            }
            java.util.Arrays.sort(around);
            out[i] = around[2];
        }
        return out;
    }

    private List<Explained> explain(
            List<Course> whole, boolean[] leftOut, Map<Integer, double[]> shares, boolean times, List<Integer> trials) {
        int[] index = java.util.stream.IntStream.range(0, whole.size())
                .filter(i -> !leftOut[i])
                .toArray();
        List<Course> course =
                java.util.Arrays.stream(index).mapToObj(whole::get).toList();
        int n = course.size();
        if (n < LEAST) {
            return List.of(new Explained(List.of(), false, 1, 0, 0, 0, 0, null));
        }
        double[] y = levels(course, times);
        double[] load = new double[n];
        double meanLoad = course.stream().mapToDouble(Course::load).average().orElse(1);
        for (int i = 0; i < n; i++) {
            load[i] = course.get(i).load / meanLoad - 1;
        }
        Fit fit = new Fit(y, load, times ? 0.03 : 0.004 * 100 / 25);
        double weight = n / ALIKE;
        List<Explained> out = new ArrayList<>();
        List<Double> logs = new ArrayList<>();
        logs.add(Math.log(OF_NONE) - weight / 2 * Math.log(fit.rest(null)));
        out.add(new Explained(List.of(), false, 0, 0, 0, 0, 0, null));
        spells(fit, n, weight, index, logs, out);
        List<List<Integer>> named = new ArrayList<>();
        trials.forEach(a -> named.add(List.of(a)));
        for (int a = 0; a < trials.size(); a++) {
            for (int b = a + 1; b < trials.size(); b++) {
                named.add(List.of(trials.get(a), trials.get(b)));
            }
        }
        for (List<Integer> who : named) {
            double[] x = new double[n];
            for (int i = 0; i < n; i++) {
                x[i] = 1;
                for (int b : who) {
                    x[i] *= shares.get(b)[index[i]];
                }
            }
            double slope = fit.slope(x);
            double prior = who.size() == 1 ? OF_RELEASES / trials.size() : OF_PAIRS / Math.max(1, named.size());
            logs.add(
                    slope <= 0
                            ? Double.NEGATIVE_INFINITY
                            : Math.log(prior) - weight / 2 * Math.log(fit.rest(x)) - 0.5 * Math.log(weight));
            double peak = 0;
            int lasted = 0;
            for (int i = 0; i < n; i++) {
                peak = Math.max(peak, x[i] * slope);
                lasted += x[i] * slope > MATTERS ? 1 : 0;
            }
            double doubt = 1.96 * fit.doubt(x) * max(x);
            out.add(new Explained(who, false, 0, peak, peak - doubt, peak + doubt, lasted, null));
        }
        double all = LogArithmetic.sum(logs.stream().mapToDouble(v -> v).toArray());
        List<Explained> ranked = new ArrayList<>();
        for (int i = 0; i < out.size(); i++) {
            Explained e = out.get(i);
            ranked.add(new Explained(
                    e.releases, e.spell, FastMath.exp(logs.get(i) - all), e.size, e.low, e.high, e.lasted, e.over));
        }
        ranked.sort((a, b) -> Double.compare(b.probability, a.probability));
        return ranked;
    }

    private static double max(double[] x) {
        double most = 0;
        for (double v : x) {
            most = Math.max(most, v);
        }
        return most;
    }

    /** A spell may begin and end at any second; one that is still on may go on. */
    private static void spells(Fit fit, int n, double weight, int[] index, List<Double> logs, List<Explained> out) {
        double best = Double.NEGATIVE_INFINITY, size = 0;
        int lasted = 0;
        int[] over = null;
        double[] all = new double[n * (n + 1) / 2];
        int k = 0;
        for (int from = 0; from < n; from++) {
            double[] x = new double[n];
            for (int to = from + 1; to <= n; to++) {
                x[to - 1] = 1;
                double slope = fit.slope(x);
                double length = to < n
                        ? Math.log(1 - Math.exp(-1 / SPELL)) - (to - from - 1) / SPELL
                        : -(to - from - 1) / SPELL;
                double log = slope <= 0
                        ? Double.NEGATIVE_INFINITY
                        : Math.log(OF_SPELL / n) + length - weight / 2 * Math.log(fit.rest(x)) - 0.5 * Math.log(weight);
                all[k++] = log;
                if (log > best) {
                    best = log;
                    size = slope;
                    lasted = to - from;
                    over = to < n ? new int[] {index[from], index[to - 1] + 1} : null;
                }
            }
        }
        logs.add(LogArithmetic.sum(all));
        out.add(new Explained(List.of(), true, 0, size, size, size, lasted, over));
    }

    /** Each second's level over the routes, each held against its own mean, so that a change of mix is no harm. */
    private static double[] levels(List<Course> course, boolean times) {
        int n = course.size(), value = times ? 1 : 3, count = times ? 0 : 2;
        Map<Integer, double[]> means = new TreeMap<>();
        course.forEach(c -> c.byRoute.forEach((r, v) -> {
            double[] m = means.computeIfAbsent(r, k -> new double[2]);
            m[0] += v[value];
            m[1] += v[count];
        }));
        double[] y = new double[n];
        for (int i = 0; i < n; i++) {
            double sum = 0, tries = 0;
            for (var e : course.get(i).byRoute.entrySet()) {
                double[] m = means.get(e.getKey());
                sum += e.getValue()[value] - e.getValue()[count] * m[0] / Math.max(1, m[1]);
                tries += e.getValue()[count];
            }
            // hits in hundredths of 4, so that one size of harm serves both
            y[i] = tries == 0 ? 0 : sum / tries * (times ? 1 : 100.0 / 16);
        }
        return y;
    }

    /** How likely a release has part in the harm, alone or with another. */
    static double part(List<Explained> ranked, int build) {
        return ranked.stream()
                .filter(e -> e.releases.contains(build))
                .mapToDouble(Explained::probability)
                .sum();
    }

    /** The releases that surely have part in harm to all which lasted; empty for none. */
    static List<Integer> guilty(List<Explained> ranked) {
        Explained best = ranked.get(0);
        boolean counts = best.lasted >= LASTS && best.size > MATTERS;
        return counts
                ? best.releases.stream().filter(b -> part(ranked, b) >= SURE).toList()
                : List.of();
    }

    /** Whether there is harm now that nobody is yet blamed for. */
    static boolean open(List<Explained> ranked) {
        double none = 0;
        for (Explained e : ranked) {
            none += e.releases.isEmpty() && !e.spell ? e.probability : 0;
        }
        return none < 0.1 && ranked.get(0).size > MATTERS;
    }

    /** Least squares of a level on one course beside a constant and the load. */
    private static final class Fit {
        private final double[] y;
        private final double[][] base;
        private final double whole, floor;

        Fit(double[] y, double[] load, double leastSpread) {
            int n = y.length;
            double[] one = new double[n];
            java.util.Arrays.fill(one, 1 / Math.sqrt(n));
            double[] l = without(load, one);
            double length = Math.sqrt(dot(l, l));
            if (length > 1e-6) {
                for (int i = 0; i < n; i++) {
                    l[i] /= length;
                }
                base = new double[][] {one, l};
            } else {
                base = new double[][] {one};
            }
            this.y = clean(y);
            whole = dot(this.y, this.y);
            floor = n * leastSpread * leastSpread;
        }

        private static double dot(double[] a, double[] b) {
            double sum = 0;
            for (int i = 0; i < a.length; i++) {
                sum += a[i] * b[i];
            }
            return sum;
        }

        private static double[] without(double[] x, double[] unit) {
            double d = dot(x, unit);
            double[] out = x.clone();
            for (int i = 0; i < out.length; i++) {
                out[i] -= d * unit[i];
            }
            return out;
        }

        private double[] clean(double[] x) {
            double[] out = x;
            for (double[] b : base) {
                out = without(out, b);
            }
            return out;
        }

        double slope(double[] x) {
            double[] z = clean(x);
            double zz = dot(z, z);
            return zz < 1e-12 ? 0 : dot(z, y) / zz;
        }

        /** What is left unexplained; never less than what chance leaves. */
        double rest(double[] x) {
            if (x == null) {
                return whole + floor;
            }
            double[] z = clean(x);
            double zz = dot(z, z), zy = dot(z, y);
            return zz < 1e-12 ? whole + floor : Math.max(0, whole - zy * zy / zz) + floor;
        }

        /** The standard error of the slope. */
        double doubt(double[] x) {
            double[] z = clean(x);
            double zz = dot(z, z);
            return zz < 1e-12 ? Double.POSITIVE_INFINITY : Math.sqrt(ALIKE * rest(x) / Math.max(1, y.length - 3) / zz);
        }
    }
}

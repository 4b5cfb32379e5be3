package laurelkeel.attribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import laurelkeel.attribution.AttributionFinding.Kind;
import laurelkeel.attribution.AttributionFinding.Verdict;
import laurelkeel.attribution.FleetWideRegressionDetector.Explained;

/**
 * The statement of which release most likely caused a drop. Told of offers and ends, fed with reports, and asked once
 * a second. An honest release is called guilty with a chance under FALSE_ALARM over its whole trial, however often
 * this is asked: exactly for fails, silences and wrong answers, whose e-values need no more than that tries at both
 * builds are alike; as far as its model goes for slowness and harm to all.
 */
public final class RegressionAttributor {
    /** The chance that an honest release is called guilty by what a comparison shows, at most. */
    public static final double FALSE_ALARM = 0.002;

    private static final double OPEN = 20;
    private static final double PRIOR = 0.1;
    private static final int CLEAR_TRIES = 150, CLEAR_SECONDS = 8;
    private static final double CLEAR_SHARE = 0.02, CLEAR_RATIO = 1.5, CLEAR_ERRORS = 2.6;
    private static final int MOST_TRIALS = 8;
    private static final long OPEN_FOR = 18, ASIDE_FOR = 60;

    private final int routes;
    private final ReportAggregator pool;
    private final RecentCounts recent = new RecentCounts();
    private final LoadClassifier load = new LoadClassifier();
    private final FleetWideRegressionDetector shared = new FleetWideRegressionDetector();
    private final Map<Integer, CanaryComparison> trials = new TreeMap<>();
    /** Off trial, yet no measure for the others: sent back, or refused for want of room. */
    private final Set<Integer> apart = new HashSet<>();
    /** Set aside to tell: on trial no more, yet still to be explained by. */
    private final Map<Integer, CanaryComparison> aside = new TreeMap<>();

    private long openSince = -1;
    private List<AttributionFinding> last = List.of();

    /** @param patience seconds that a report may be late before its second is judged without it */
    public RegressionAttributor(int routes, long patience) {
        this.routes = routes;
        this.pool = new ReportAggregator(patience);
    }

    /** A build goes on trial. */
    public void rolloutStarted(int build, long second) {
        if (trials.size() < MOST_TRIALS) {
            apart.remove(build);
            trials.computeIfAbsent(build, b -> new CanaryComparison(b, second, routes));
        } else {
            apart.add(build);
        }
    }

    /** Its trial is over; released, it is a measure for the others from now on. */
    public void rolloutEnded(int build, boolean released) {
        if (trials.remove(build) != null && !released) {
            apart.add(build);
        }
    }

    /** Sent back to tell whether the harm ends with it; it may still be found guilty. */
    public void rolloutSetAside(int build) {
        CanaryComparison t = trials.remove(build);
        if (t != null) {
            apart.add(build);
            aside.put(build, t);
        }
    }

    /** Takes a front's report; false where it is left out (doubled, too late, from the future). */
    public boolean addReport(NodeReport r, long now) {
        return pool.take(r, now);
    }

    /** What was not counted so far. */
    public DiscardCounts discarded() {
        return new DiscardCounts(pool.doubled, pool.late, pool.unsound, pool.left);
    }

    /** What is known now, a finding a release on trial. */
    public List<AttributionFinding> evaluate(long now) {
        List<ReportAggregator.Second> closed = pool.closed(now);
        if (closed.isEmpty()) {
            return last;
        }
        for (ReportAggregator.Second s : closed) {
            next(s);
        }
        last = findings(now);
        return last;
    }

    private boolean beside(int build) {
        return !trials.containsKey(build) && !apart.contains(build);
    }

    private void next(ReportAggregator.Second s) {
        recent.next(s);
        Map<Integer, Integer> tries = new HashMap<>();
        s.byFront().values().forEach(cells -> cells.forEach(c -> tries.merge(c.build(), c.tries(), Integer::sum)));
        LoadClassifier.Is is =
                load.next(tries.values().stream().mapToInt(v -> v).sum());
        for (CanaryComparison t : trials.values()) {
            boolean othersOn = trials.keySet().stream().anyMatch(b -> b != t.build && tries.getOrDefault(b, 0) > 0);
            t.next(s, this::beside, recent, othersOn, is);
        }
        shared.next(s, this::beside, recent);
    }

    private List<AttributionFinding> findings(long now) {
        aside.values().removeIf(t -> t.guiltyAt >= 0 || now - t.since > ASIDE_FOR + 120);
        Map<Integer, CanaryComparison> all = new TreeMap<>(aside);
        all.putAll(trials);
        List<Integer> on = List.copyOf(all.keySet());
        List<Explained> times = shared.explain(true, on), hits = shared.explain(false, on);
        Map<Integer, double[]> logs = new TreeMap<>();
        double top = Double.NEGATIVE_INFINITY;
        for (CanaryComparison t : all.values()) {
            double[] e = t.logE();
            logs.put(t.build, e);
            top = Math.max(top, LogArithmetic.sum(e));
            if (t.guiltyAt < 0 && LogArithmetic.sum(e) >= -Math.log(FALSE_ALARM)) {
                t.guiltyAt = now;
                t.guiltyKind = Kind.values()[most(e)];
            }
        }
        boolean anyGuilty = all.values().stream().anyMatch(t -> t.guiltyAt >= 0);
        // a failing build can slow all by the tries it costs: what is seen side by side goes first
        if (!anyGuilty && top < Math.log(OPEN)) {
            for (List<Explained> course : List.of(times, hits)) {
                // of two only bad together the later one is named: without it there was no harm
                CanaryComparison t = all.get(newestOf(all, FleetWideRegressionDetector.guilty(course)));
                if (t != null && t.guiltyAt < 0) {
                    t.guiltyAt = now;
                    t.guiltyKind = Kind.HARMS_ALL;
                }
            }
        }
        anyGuilty = all.values().stream().anyMatch(t -> t.guiltyAt >= 0);
        boolean harmOpen =
                !anyGuilty && (FleetWideRegressionDetector.open(times) || FleetWideRegressionDetector.open(hits));
        boolean open = anyGuilty || harmOpen || top > Math.log(OPEN);
        openSince = !harmOpen ? -1 : openSince < 0 ? now : openSince;
        boolean untold = harmOpen && now - openSince >= OPEN_FOR && trials.size() > 1;
        int newest = newestOf(all, List.copyOf(trials.keySet()));
        List<AttributionFinding> out = new ArrayList<>();
        for (CanaryComparison t : all.values()) {
            if (trials.containsKey(t.build) || t.guiltyAt >= 0) {
                out.add(finding(t, logs, times, hits, open, harmOpen, untold && t.build == newest, now));
            }
        }
        openSince = untold ? now : openSince;
        return List.copyOf(out);
    }

    private static int newestOf(Map<Integer, CanaryComparison> of, List<Integer> builds) {
        return builds.stream()
                .max((a, b) -> of.get(a).since != of.get(b).since
                        ? Long.compare(of.get(a).since, of.get(b).since)
                        : Integer.compare(a, b))
                .orElse(-1);
    }

    private static int most(double[] of) {
        int at = 0;
        for (int i = 1; i < of.length; i++) {
            at = of[i] > of[at] ? i : at;
        }
        return at;
    }

    private AttributionFinding finding(
            CanaryComparison t,
            Map<Integer, double[]> logs,
            List<Explained> times,
            List<Explained> hits,
            boolean open,
            boolean harmOpen,
            boolean setAside,
            long now) {
        double[] e = logs.get(t.build);
        double own = LogArithmetic.sum(e);
        double whole = Math.log(1 - PRIOR);
        for (double[] other : logs.values()) {
            whole = LogArithmetic.sum(whole, Math.log(PRIOR) + LogArithmetic.sum(other));
        }
        double probability = Math.exp(Math.log(PRIOR) + own - whole);
        double part = Math.max(
                FleetWideRegressionDetector.part(times, t.build), FleetWideRegressionDetector.part(hits, t.build));
        Explained course = sharedOf(
                FleetWideRegressionDetector.part(hits, t.build) > FleetWideRegressionDetector.part(times, t.build)
                        ? hits
                        : times,
                t.build);
        boolean byCourse = course != null && part > probability;
        Kind kind = t.guiltyAt >= 0 ? t.guiltyKind : byCourse ? Kind.HARMS_ALL : Kind.values()[most(e)];
        probability = Math.max(probability, part);
        double[] effect =
                switch (kind) {
                    case FAILS, SILENCE, WRONG -> t.difference(kind.ordinal(), 1.96);
                    case SLOW -> t.ratio(1.96);
                    case HARMS_ALL ->
                        course == null
                                ? new double[3]
                                : new double[] {Math.exp(course.size()), Math.exp(course.low()), Math.exp(course.high())
                                };
                };
        Verdict verdict = t.guiltyAt >= 0
                ? Verdict.GUILTY
                : !harmOpen && own < Math.log(3) && cleared(t) ? Verdict.CLEARED : Verdict.NOT_YET_KNOWN;
        List<String> considered = new ArrayList<>(t.setAside());
        if (times.get(0).spell() || !times.get(0).releases().isEmpty()) {
            considered.add("the times of all builds: " + told(times));
        }
        if (hits.get(0).spell() || !hits.get(0).releases().isEmpty()) {
            considered.add("the trouble of all builds: " + told(hits));
        }
        if (t.onlyTogether()) {
            considered.add("it was well while no other release had traffic: bad only together with one");
        }
        if (considered.isEmpty()) {
            considered.add("no machine, customer or outside spell stands out");
        }
        return new AttributionFinding(
                t.build,
                verdict,
                probability,
                kind,
                effect[0],
                effect[1],
                effect[2],
                sentence(t, kind, effect, verdict),
                List.copyOf(considered),
                open && verdict != Verdict.GUILTY,
                setAside,
                Math.max(0, now - t.since));
    }

    private static String told(List<Explained> ranked) {
        return ranked.stream()
                .filter(e -> e.probability() > 0.02)
                .map(e -> {
                    String who = e.spell()
                            ? "an outside spell of " + e.lasted() + " s"
                            : e.releases().isEmpty()
                                    ? "nothing"
                                    : "build "
                                            + e.releases().stream()
                                                    .map(String::valueOf)
                                                    .collect(Collectors.joining(" with "));
                    return String.format(Locale.ROOT, "%s %.2f", who, e.probability());
                })
                .collect(Collectors.joining(", "));
    }

    private static Explained sharedOf(List<Explained> ranked, int build) {
        return ranked.stream()
                .filter(x -> x.releases().contains(build))
                .findFirst()
                .orElse(null);
    }

    private static boolean cleared(CanaryComparison t) {
        if (t.tries() < CLEAR_TRIES || t.secondsSeen() < CLEAR_SECONDS) {
            return false;
        }
        for (int k = 0; k < 3; k++) {
            if (t.difference(k, CLEAR_ERRORS)[2] > CLEAR_SHARE) {
                return false;
            }
        }
        double[] slow = t.ratio(CLEAR_ERRORS);
        // one machine cannot show a slow build, nor clear it
        return slow[2] < CLEAR_RATIO;
    }

    private static String sentence(CanaryComparison t, Kind kind, double[] effect, Verdict verdict) {
        String what =
                switch (kind) {
                    case FAILS -> "of its tries %.1f in 100 more fail than beside it (%.1f to %.1f)";
                    case SILENCE -> "of its tries %.1f in 100 more get no answer than beside it (%.1f to %.1f)";
                    case WRONG -> "of its answers %.1f in 100 more are complained of than beside it (%.1f to %.1f)";
                    case SLOW -> "its answers take %.2f times as long as beside it (%.2f to %.2f)";
                    case HARMS_ALL -> "all builds get worse in step with its traffic, times to %.2f (%.2f to %.2f)";
                };
        double by = kind.ordinal() <= Kind.WRONG.ordinal() ? 100 : 1;
        String figures = String.format(Locale.ROOT, what, effect[0] * by, effect[1] * by, effect[2] * by);
        return "build " + t.build
                + switch (verdict) {
                    case GUILTY -> " is to blame: ";
                    case CLEARED -> " does no harm: ";
                    case NOT_YET_KNOWN -> " is not yet known: ";
                } + figures + " in the last " + t.secondsSeen() + " s, " + t.tries() + " tries";
    }
}

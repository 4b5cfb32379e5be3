package laurelkeel.bench;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import laurelkeel.api.Action;
import laurelkeel.api.Decider;
import laurelkeel.api.Event;
import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.LoadReport;
import laurelkeel.api.Settings;
import laurelkeel.api.Settings.DeduplicationScope;
import laurelkeel.api.Settings.Idempotency;
import laurelkeel.attribution.NodeReport;
import laurelkeel.attribution.RegressionAttributor;
import laurelkeel.decision.RoutingDecider;
import laurelkeel.partition.PartitionedDecider;

/** What several releases cost a front beside one, and what the reports of many fronts cost the blame. */
public final class PartitionBenchmark {
    private static final long MS = 10, SECOND = 10_000;

    private PartitionBenchmark() {}

    private static Settings settings() {
        return new Settings(
                0,
                170,
                0,
                List.of(new Settings.Route(
                        Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 800 * MS, 2500 * MS, 2, 0, 0)),
                List.of(),
                new Settings.Limits(SECOND, 5 * SECOND, 0.4, 2 * SECOND, 3, 10 * SECOND),
                new Settings.Capabilities(4, true, false, true, true, SECOND, false),
                new Settings.Costs(0, 0.01, 0.01, 0.5, 3),
                new Settings.Rollout(
                        Settings.PromotionPolicy.VOTE_COUNT,
                        1,
                        1,
                        0,
                        5 * SECOND,
                        SECOND,
                        40,
                        List.of(0.1, 1.0),
                        2 * SECOND,
                        0,
                        true,
                        4 * SECOND,
                        2,
                        false,
                        0,
                        0.3),
                false);
    }

    /** One front's decider under even load with so many releases on trial. */
    private static final class Load {
        final Decider decider;
        final SplittableRandom random = new SplittableRandom(1);
        long now = 36_000_000, ids;

        Load(Decider.Factory maker, int machines, int releases) {
            decider = maker.create(settings(), 1);
            List<EndpointEntry> list = new ArrayList<>();
            for (int i = 0; i < machines; i++) {
                int build = i % 10 < releases ? 2 + i % 10 : 1;
                list.add(new EndpointEntry("m" + i, build, 0, 0, 0, 1, EndpointState.ACTIVE, 0));
            }
            List<Event> events =
                    new ArrayList<>(List.of(new Event.EndpointListUpdate(Event.EndpointListKind.CACHED, list)));
            events.add(new Event.RolloutUpdate(Event.ControlStatus.OK, 0, 1, 0, RolloutPhase.RELEASED, 1, false));
            for (int b = 0; b < releases; b++) {
                events.add(
                        new Event.RolloutUpdate(Event.ControlStatus.OK, 0, 0.1, 0, RolloutPhase.CANARY, 2 + b, false));
            }
            decider.decide(now, events);
        }

        /** Reqs one after another, each answered before the next; returns nanoseconds a req. */
        double reqs(int n) {
            long start = System.nanoTime();
            for (int i = 0; i < n; i++) {
                now += 10;
                String id = "r" + ids++;
                List<Event> in = new ArrayList<>(List.of(
                        new Event.RequestReceived(id, 0, 0, "k" + random.nextInt(20_000), now + 2500 * MS, 0, false)));
                List<Action> out = decider.decide(now, in);
                in = new ArrayList<>();
                for (Action a : out) {
                    if (a instanceof Action.SendAttempt s) {
                        in.add(new Event.AttemptEnded(
                                s.requestId(),
                                0,
                                s.endpointId(),
                                Event.AttemptOutcome.COMPLETED,
                                80,
                                true,
                                LoadReport.NONE));
                    } else if (a instanceof Action.StartTimer t) {
                        in.add(new Event.TimerFired(t.timerId()));
                    }
                }
                decider.decide(now + 5, in);
            }
            return (System.nanoTime() - start) / (double) n;
        }
    }

    private static long heap() {
        System.gc();
        Runtime r = Runtime.getRuntime();
        return r.totalMemory() - r.freeMemory();
    }

    public static void run(int rounds, int reqs, PrintStream out) {
        out.println(
                "| machines | module alone, 1 release, ns/req | lanes, 1 release | lanes, 3 releases | 1 lane to alone | 3 to 1 | heap of 3, MiB |");
        out.println("| --- | --- | --- | --- | --- | --- | --- |");
        for (int machines : new int[] {10, 300}) {
            Decider.Factory lanes = (set, seed) -> new PartitionedDecider(set, seed, RoutingDecider::new);
            long before = heap();
            Load three = new Load(lanes, machines, 3);
            three.reqs(reqs);
            double mib = (heap() - before) / 1048576.0;
            Load alone = new Load(RoutingDecider::new, machines, 1), one = new Load(lanes, machines, 1);
            alone.reqs(reqs);
            one.reqs(reqs);
            double[][] ns = new double[rounds][];
            for (int i = 0; i < rounds; i++) {
                // in turn, so that what else the host does meets all
                ns[i] = new double[] {alone.reqs(reqs), one.reqs(reqs), three.reqs(reqs)};
            }
            out.printf(
                    Locale.ROOT,
                    "| %d | %.0f | %.0f | %.0f | %.2f | %.2f | %.1f |%n",
                    machines,
                    median(ns, 0),
                    median(ns, 1),
                    median(ns, 2),
                    median(ns, 1) / median(ns, 0),
                    median(ns, 2) / median(ns, 1),
                    mib);
        }
        blame(170, 300, 120, out);
    }

    private static double median(double[][] rows, int column) {
        double[] sorted = java.util.Arrays.stream(rows)
                .mapToDouble(r -> r[column])
                .sorted()
                .toArray();
        return sorted[sorted.length / 2];
    }

    private static void blame(int fronts, int machines, int seconds, PrintStream out) {
        SplittableRandom random = new SplittableRandom(3);
        long before = heap();
        RegressionAttributor blame = new RegressionAttributor(4, 4);
        for (int b = 2; b <= 4; b++) {
            blame.rolloutStarted(b, 0);
        }
        var threads = ManagementFactory.getThreadMXBean();
        long cpu = 0, cells = 0, worst = 0;
        for (int s = 0; s < seconds; s++) {
            List<NodeReport> reports = new ArrayList<>();
            for (int f = 0; f < fronts; f++) {
                List<NodeReport.Cell> in = new ArrayList<>();
                for (int i = 0; i < 200; i++) {
                    int m = random.nextInt(machines);
                    double log = 3 + 0.4 * random.nextDouble();
                    in.add(new NodeReport.Cell(
                            m % 10 < 3 ? 2 + m % 10 : 1,
                            random.nextInt(4),
                            "m" + m,
                            random.nextInt(3),
                            1,
                            random.nextInt(200) == 0 ? 1 : 0,
                            0,
                            0,
                            1,
                            log,
                            log * log));
                }
                reports.add(new NodeReport(f, "x", s, in));
                cells += in.size();
            }
            long start = threads.getCurrentThreadCpuTime();
            for (NodeReport r : reports) {
                blame.addReport(r, s);
            }
            blame.evaluate(s);
            long took = threads.getCurrentThreadCpuTime() - start;
            cpu += took;
            worst = Math.max(worst, s > 20 ? took : 0);
        }
        out.printf(
                Locale.ROOT,
                "%nblame, %d fronts, %d machines, %d s, %d cells: %.2f s of CPU, %.0f ms a second, worst %.0f ms; "
                        + "heap %.0f MiB%n",
                fronts,
                machines,
                seconds,
                cells,
                cpu / 1e9,
                cpu / 1e6 / seconds,
                worst / 1e6,
                (heap() - before) / 1048576.0);
        java.util.Objects.requireNonNull(blame.evaluate(seconds));
    }
}

package laurelkeel.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import laurelkeel.attribution.AttributionFinding;
import laurelkeel.attribution.NodeReport;
import laurelkeel.attribution.RegressionAttributor;

/**
 * One made-up release day, second by second, as fronts would report it: two or three releases offered one after
 * another, one of them bad in one way or none, among dead machines, outside spells, bursts, a bad customer, lost, late
 * and doubled reports, and sometimes a front that lies. All figures are invented. It is the same day whoever judges.
 */
final class AttributionScenario {

    enum Bad {
        NONE,
        FAILS,
        FAILS_ONE_ROUTE,
        SLOW,
        SLOW_WHEN_BUSY,
        LATE,
        WRONG,
        HARMS_ALL,
        TOGETHER
    }

    /** What became of one day. */
    record Result(
            Bad bad,
            boolean caught,
            boolean honestBlamed,
            double seconds,
            long harm,
            boolean worstRight,
            boolean newestRight,
            boolean aloneRight,
            boolean aloneWrong,
            int asides) {}

    private static final double[] SHARES = {0.08, 0.18, 0.28};
    private static final int[] MACHINES = {1, 3, 5};
    private static final double[] ROUTES = {0.5, 0.3, 0.2};
    private static final double[] TIMES = {Math.log(8), Math.log(20), Math.log(45)};
    private static final int BASE = 12, FRONTS = 8, RATE = 60, LENGTH = 150, CUSTOMERS = 10;

    private static final class Release {
        final int build;
        final int at;
        int stage;
        long since;
        boolean over;
        final double[] offsets = new double[MACHINES[MACHINES.length - 1]];
        // of the test that holds each release against all else by itself
        double own, ownHits, rest, restHits;

        Release(int build, int at) {
            this.build = build;
            this.at = at;
        }

        double share(long now) {
            return over || now < at ? 0 : SHARES[stage];
        }
    }

    private final SplittableRandom random;
    private final Bad bad;
    private final int badBuild;
    private final double size;
    private final List<Release> releases = new ArrayList<>();
    private final double[] baseOffsets = new double[BASE];
    private final int deadFrom, deadLasts, liar, badCustomer, burstAt;
    private final String dead;
    private final boolean spellAtStage;
    private double drift;
    private int spellUntil = -1;
    private double spell;
    private long harm;

    AttributionScenario(long seed, Bad bad) {
        random = new SplittableRandom(seed * 1_000_003 + bad.ordinal());
        this.bad = bad;
        int n = random.nextInt(3) == 0 ? 3 : 2;
        int at = 10;
        for (int i = 0; i < n; i++) {
            releases.add(new Release(2 + i, at));
            // from nearly at once to the last seconds of the one before
            at += 1 + random.nextInt(28);
        }
        badBuild = bad == Bad.NONE ? -1 : 2 + random.nextInt(n);
        size = random.nextDouble();
        for (int i = 0; i < BASE; i++) {
            baseOffsets[i] = gauss() * 0.05;
        }
        for (Release r : releases) {
            for (int i = 0; i < r.offsets.length; i++) {
                r.offsets[i] = gauss() * 0.05;
            }
        }
        boolean dies = random.nextInt(2) == 0;
        deadFrom = dies ? 15 + random.nextInt(60) : Integer.MAX_VALUE;
        deadLasts = 5 + random.nextInt(15);
        int where = random.nextInt(n + 1);
        dead = where == n ? "b" + random.nextInt(BASE) : "t" + (2 + where) + "." + random.nextInt(3);
        liar = random.nextInt(4) == 0 ? random.nextInt(FRONTS) : -1;
        badCustomer = random.nextInt(4) == 0 ? random.nextInt(CUSTOMERS) : -1;
        burstAt = random.nextInt(3) == 0 ? 20 + random.nextInt(80) : Integer.MAX_VALUE;
        spellAtStage = random.nextInt(2) == 0;
    }

    private double gauss() {
        return Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
    }

    private double between(double low, double high) {
        return low + (high - low) * size;
    }

    Result play() {
        RegressionAttributor blame = new RegressionAttributor(ROUTES.length, 2);
        TreeMap<Long, List<NodeReport>> onTheirWay = new TreeMap<>();
        double caughtAt = -1;
        boolean honest = false, aloneWrong = false;
        int worst = -1, newest = -1, alone = -1, asides = 0;
        for (long now = 0; now < LENGTH; now++) {
            for (Release r : releases) {
                if (now == r.at) {
                    r.since = now;
                    blame.rolloutStarted(r.build, now);
                }
            }
            second(now, onTheirWay);
            while (!onTheirWay.isEmpty() && onTheirWay.firstKey() <= now) {
                for (NodeReport r : onTheirWay.pollFirstEntry().getValue()) {
                    blame.addReport(r, now);
                }
            }
            int first = alone();
            if (first > 0 && alone < 0) {
                alone = first;
                aloneWrong = first != badBuild;
            }
            for (AttributionFinding f : blame.evaluate(now)) {
                Release r = releases.get(f.build() - 2);
                if (f.verdict() == AttributionFinding.Verdict.GUILTY) {
                    if (f.build() == badBuild && caughtAt < 0) {
                        caughtAt = now - r.at;
                        worst = worst();
                        newest = newest(now);
                    }
                    honest |= f.build() != badBuild;
                    r.over = true;
                    blame.rolloutEnded(f.build(), false);
                } else if (f.setAside()) {
                    r.over = true;
                    blame.rolloutSetAside(f.build());
                    asides += f.build() != badBuild ? 1 : 0;
                } else if (!f.hold() && now - r.since >= 10) {
                    if (r.stage + 1 < SHARES.length) {
                        r.stage++;
                        r.since = now;
                        stageMoved(now);
                    } else if (f.verdict() == AttributionFinding.Verdict.CLEARED) {
                        r.over = true;
                        blame.rolloutEnded(f.build(), true);
                    }
                }
            }
        }
        if (caughtAt < 0) {
            worst = worst();
            newest = newest(LENGTH);
        }
        return new Result(
                bad,
                caughtAt >= 0,
                honest,
                caughtAt,
                harm,
                worst == badBuild,
                newest == badBuild,
                alone == badBuild,
                aloneWrong,
                asides);
    }

    private void stageMoved(long now) {
        if (spellAtStage && random.nextInt(3) == 0) {
            spellUntil = (int) now + 2 + random.nextInt(7);
            spell = 0.4 + 0.6 * random.nextDouble();
        }
    }

    private int worst() {
        return releases.stream()
                .filter(r -> r.own > 0)
                .max((a, b) -> Double.compare(a.ownHits / a.own, b.ownHits / b.own))
                .map(r -> r.build)
                .orElse(-1);
    }

    private int newest(long now) {
        return releases.stream()
                .filter(r -> r.at <= now)
                .map(r -> r.build)
                .max(Integer::compare)
                .orElse(-1);
    }

    /** The first release whose share of hits differs from all other traffic's, each looked at by itself each second. */
    private int alone() {
        for (Release r : releases) {
            if (r.own < 30 || r.rest < 30) {
                continue;
            }
            double p = (r.ownHits + r.restHits) / (r.own + r.rest);
            double z = (r.ownHits / r.own - r.restHits / r.rest)
                    / Math.sqrt(Math.max(1e-9, p * (1 - p) * (1 / r.own + 1 / r.rest)));
            if (z > 2.58) {
                return r.build;
            }
        }
        return -1;
    }

    /** Reqs of one second, dealt and answered; what each front counted is sent on its way. */
    private void second(long now, TreeMap<Long, List<NodeReport>> onTheirWay) {
        drift = 0.7 * drift + gauss() * 0.03;
        if (now > spellUntil && random.nextInt(60) == 0) {
            spellUntil = (int) now + 2 + random.nextInt(7);
            spell = 0.3 + 0.7 * random.nextDouble();
        }
        double load = 1 + 0.2 * Math.sin(now / 9.0) + (now >= burstAt && now < burstAt + 6 ? 0.6 : 0);
        double outside = drift + (now <= spellUntil ? spell : 0) + Math.max(0, load - 1.2) * 0.5;
        for (int f = 0; f < FRONTS; f++) {
            Map<String, double[]> cells = new HashMap<>();
            int n = poisson(RATE * load);
            for (int i = 0; i < n; i++) {
                req(now, load, outside, cells);
            }
            if (random.nextInt(20) == 0) {
                continue;
            }
            List<NodeReport.Cell> out = new ArrayList<>();
            for (var e : cells.entrySet()) {
                String[] k = e.getKey().split("/");
                double[] v = e.getValue();
                boolean lies = f == liar && Integer.parseInt(k[0]) == releases.get(0).build;
                int fails = (int) (lies ? Math.min(v[0] - v[2], Math.max(1, v[1] * 10)) : v[1]);
                out.add(new NodeReport.Cell(
                        Integer.parseInt(k[0]),
                        Integer.parseInt(k[1]),
                        k[2],
                        Integer.parseInt(k[3]),
                        (int) v[0],
                        fails,
                        (int) v[2],
                        (int) v[3],
                        (int) v[4],
                        v[5],
                        v[6]));
            }
            NodeReport r = new NodeReport(f, "x", now, out);
            onTheirWay
                    .computeIfAbsent(now + random.nextInt(3), k -> new ArrayList<>())
                    .add(r);
            if (random.nextInt(30) == 0) {
                onTheirWay
                        .computeIfAbsent(now + 1 + random.nextInt(4), k -> new ArrayList<>())
                        .add(r);
            }
        }
    }

    private void req(long now, double load, double outside, Map<String, double[]> cells) {
        int customer = random.nextInt(CUSTOMERS);
        double at = random.nextDouble();
        Release to = null;
        for (Release r : releases) {
            double share = r.share(now);
            if (at >= 0 && at < share) {
                to = r;
            }
            at -= share;
        }
        int route = random.nextDouble() < ROUTES[0] ? 0 : random.nextDouble() < ROUTES[1] / (1 - ROUTES[0]) ? 1 : 2;
        int place = to == null ? random.nextInt(BASE) : random.nextInt(MACHINES[to.stage]);
        String machine = to == null ? "b" + place : "t" + to.build + "." + place;
        double log = TIMES[route] + outside + 0.4 * gauss() + (to == null ? baseOffsets[place] : to.offsets[place]);
        double fails = 0.002 + (customer == badCustomer ? 0.3 : 0);
        boolean wrong = false, hurt = false;
        boolean mine = to != null && to.build == badBuild;
        Release b = badBuild < 0 ? null : releases.get(badBuild - 2);
        boolean others = releases.stream().anyMatch(r -> r.build != badBuild && r.share(now) > 0);
        switch (bad) {
            case FAILS -> fails += mine ? between(0.03, 0.3) : 0;
            case FAILS_ONE_ROUTE -> fails += mine && route == 1 ? between(0.1, 0.6) : 0;
            case LATE -> fails += mine && now >= to.at + 15 ? between(0.05, 0.3) : 0;
            case TOGETHER -> fails += mine && others ? between(0.05, 0.3) : 0;
            case SLOW -> log += mine ? Math.log(between(2, 4)) : 0;
            case SLOW_WHEN_BUSY -> log += mine && load > 1.02 ? Math.log(between(2.2, 4)) : 0;
            case WRONG -> wrong = mine && random.nextDouble() < between(0.15, 0.5);
            case HARMS_ALL -> {
                double all = b.share(now) * between(4, 8);
                log += all;
                hurt = all > 0.3;
            }
            default -> {}
        }
        boolean silent = machine.equals(dead) && now >= deadFrom && now < deadFrom + deadLasts;
        boolean failed = !silent && random.nextDouble() < fails;
        boolean told = wrong && !silent && !failed && random.nextDouble() < 0.3;
        if ((mine
                        && ((failed && fails > 0.01)
                                || wrong
                                || bad == Bad.SLOW
                                || (bad == Bad.SLOW_WHEN_BUSY && load > 1.02)))
                || hurt) {
            harm++;
        }
        double[] c = cells.computeIfAbsent(
                (to == null ? 1 : to.build) + "/" + route + "/" + machine + "/" + customer, k -> new double[7]);
        c[0]++;
        c[1] += failed ? 1 : 0;
        c[2] += silent ? 1 : 0;
        c[3] += told ? 1 : 0;
        if (!silent && !failed) {
            c[4]++;
            c[5] += log;
            c[6] += log * log;
        }
        boolean hit = failed || silent || told;
        for (Release r : releases) {
            if (to == r) {
                r.own++;
                r.ownHits += hit ? 1 : 0;
            } else if (r.share(now) > 0) {
                r.rest++;
                r.restHits += hit ? 1 : 0;
            }
        }
    }

    private int poisson(double mean) {
        double sum = 0;
        int n = -1;
        while (sum < mean) {
            sum -= Math.log(1 - random.nextDouble());
            n++;
        }
        return n;
    }
}

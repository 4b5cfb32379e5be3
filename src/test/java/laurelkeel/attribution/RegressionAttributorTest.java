package laurelkeel.attribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiFunction;
import laurelkeel.attribution.AttributionFinding.Verdict;
import laurelkeel.attribution.NodeReport.Cell;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.apache.commons.math3.distribution.HypergeometricDistribution;
import org.junit.jupiter.api.Test;

/** The blame on reports made up for each trouble it is for. */
class RegressionAttributorTest {
    private static final int BASE = 8;

    /** What one try meets: whether it fails, gets no answer, and the logarithm of its time. */
    private record Met(boolean fails, boolean silent, double log) {}

    /** One machine's ways in one second. */
    private interface World extends BiFunction<Integer, String, Met> {}

    private final Random random = new Random(4);
    private final RegressionAttributor blame = new RegressionAttributor(2, 2);
    private long now;
    private List<AttributionFinding> found = List.of();

    /** Plays seconds in which each front has 60 reqs, a tenth of them at each build on trial. */
    private void play(int seconds, int fronts, List<Integer> trials, int machines, World world) {
        for (int s = 0; s < seconds; s++, now++) {
            for (int f = 0; f < fronts; f++) {
                blame.addReport(new NodeReport(f, "x", now, cells(trials, machines, world)), now);
            }
            found = blame.evaluate(now);
        }
    }

    private List<Cell> cells(List<Integer> trials, int machines, World world) {
        Map<String, double[]> sums = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            int at = random.nextInt(10);
            int build = at < trials.size() ? trials.get(at) : 1;
            String m = build + "m" + random.nextInt(build == 1 ? BASE : machines);
            Met met = world.apply(build, m);
            double[] v = sums.computeIfAbsent(build + "/" + random.nextInt(2) + "/" + m, k -> new double[6]);
            v[0]++;
            v[1] += met.fails && !met.silent ? 1 : 0;
            v[2] += met.silent ? 1 : 0;
            if (!met.fails && !met.silent) {
                v[3]++;
                v[4] += met.log;
                v[5] += met.log * met.log;
            }
        }
        List<Cell> out = new ArrayList<>();
        sums.forEach((k, v) -> {
            String[] p = k.split("/");
            out.add(new Cell(
                    Integer.parseInt(p[0]),
                    Integer.parseInt(p[1]),
                    p[2],
                    -1,
                    (int) v[0],
                    (int) v[1],
                    (int) v[2],
                    0,
                    (int) v[3],
                    v[4],
                    v[5]));
        });
        return out;
    }

    private Met usual() {
        return new Met(random.nextInt(300) == 0, false, 3 + 0.4 * random.nextGaussian());
    }

    private Verdict of(int build) {
        return found.stream()
                .filter(f -> f.build() == build)
                .findFirst()
                .orElseThrow()
                .verdict();
    }

    private void offered(int... builds) {
        for (int b : builds) {
            blame.rolloutStarted(b, now);
        }
    }

    @Test
    void theOneThatFailsIsGuiltyAndTheOtherIsCleared() {
        play(12, 4, List.of(), 2, (b, m) -> usual());
        offered(2, 3);
        play(25, 4, List.of(2, 3), 3, (b, m) -> b == 3 && random.nextInt(6) == 0 ? new Met(true, false, 0) : usual());
        assertEquals(Verdict.GUILTY, of(3));
        blame.rolloutEnded(3, false);
        play(15, 4, List.of(2), 3, (b, m) -> usual());
        assertEquals(Verdict.CLEARED, of(2));
    }

    @Test
    void bothAreGuiltyWhereBothAreBad() {
        offered(2, 3);
        play(20, 4, List.of(2, 3), 2, (b, m) -> b > 1 && random.nextInt(6) == 0 ? new Met(true, false, 0) : usual());
        assertEquals(List.of(Verdict.GUILTY, Verdict.GUILTY), List.of(of(2), of(3)));
    }

    @Test
    void aDeadMachineIsNoBuild() {
        offered(2, 3);
        play(30, 4, List.of(2, 3), 3, (b, m) -> m.equals("2m1") ? new Met(false, true, 0) : usual());
        assertFalse(found.stream().anyMatch(f -> f.verdict() == Verdict.GUILTY), found.toString());
        play(
                30,
                4,
                List.of(2, 3),
                3,
                (b, m) -> m.equals("2m1") && random.nextBoolean() ? new Met(true, false, 0) : usual());
        assertFalse(found.stream().anyMatch(f -> f.verdict() == Verdict.GUILTY), found.toString());
        assertTrue(found.get(0).considered().toString().contains("2m1"), found.toString());
    }

    @Test
    void aBuildWhoseMachinesAllFallSilentIsGuilty() {
        offered(2);
        play(20, 4, List.of(2), 3, (b, m) -> b == 2 && random.nextInt(4) == 0 ? new Met(false, true, 0) : usual());
        assertEquals(Verdict.GUILTY, of(2));
    }

    @Test
    void slowMachinesOfOneBuildAreSlowTogether() {
        offered(2, 3);
        play(25, 4, List.of(2, 3), 3, (b, m) -> m.equals("3m0") ? new Met(false, false, 4.2) : usual());
        assertFalse(found.stream().anyMatch(f -> f.verdict() == Verdict.GUILTY), found.toString());
        play(
                30,
                4,
                List.of(2, 3),
                3,
                (b, m) -> b == 3 ? new Met(false, false, 3.9 + 0.4 * random.nextGaussian()) : usual());
        assertEquals(Verdict.GUILTY, of(3));
        assertTrue(of(2) != Verdict.GUILTY);
    }

    @Test
    void aFrontThatLiesTenfoldDecidesNothing() {
        offered(2);
        for (int s = 0; s < 40; s++, now++) {
            for (int f = 0; f < 5; f++) {
                List<Cell> cells = cells(List.of(2), 2, (b, m) -> usual());
                if (f == 3) {
                    cells = cells.stream()
                            .map(c -> new Cell(
                                    c.build(),
                                    c.route(),
                                    c.machine(),
                                    -1,
                                    c.tries() * 10,
                                    c.build() == 2 ? c.tries() * 5 : 0,
                                    0,
                                    0,
                                    c.rated(),
                                    c.logTime(),
                                    c.logSquare()))
                            .toList();
                }
                blame.addReport(new NodeReport(f, "x", now, cells), now);
            }
            found = blame.evaluate(now);
        }
        assertTrue(of(2) != Verdict.GUILTY, found.toString());
    }

    @Test
    void anOutsideSpellAtAnOfferPassesAndHoldsMeanwhile() {
        play(20, 4, List.of(), 2, (b, m) -> usual());
        offered(2, 3);
        World spell = (b, m) -> new Met(false, false, 3.7 + 0.4 * random.nextGaussian());
        play(8, 4, List.of(2, 3), 2, spell);
        assertTrue(found.stream().allMatch(AttributionFinding::hold), found.toString());
        play(25, 4, List.of(2, 3), 2, (b, m) -> usual());
        assertTrue(found.stream().noneMatch(f -> f.hold() || f.verdict() == Verdict.GUILTY), found.toString());
    }

    @Test
    void reportsCountOnceInAnyOrderAndWithinBounds() {
        RegressionAttributor one = new RegressionAttributor(2, 2), other = new RegressionAttributor(2, 2);
        List<NodeReport> all = new ArrayList<>();
        for (int s = 0; s < 12; s++) {
            for (int f = 0; f < 4; f++) {
                all.add(new NodeReport(
                        f,
                        "x",
                        s,
                        cells(
                                List.of(2),
                                2,
                                (b, m) -> b == 2 && random.nextInt(5) == 0 ? new Met(true, false, 0) : usual())));
            }
        }
        one.rolloutStarted(2, 0);
        other.rolloutStarted(2, 0);
        for (int s = 0; s < 12; s += 2) {
            List<NodeReport> two = new ArrayList<>(all.subList(s * 4, s * 4 + 8));
            int at = s + 1;
            two.forEach(r -> one.addReport(r, at));
            two.addAll(List.copyOf(two));
            java.util.Collections.shuffle(two, random);
            two.forEach(r -> other.addReport(r, at));
            assertEquals(one.evaluate(at).toString(), other.evaluate(at).toString());
        }
        assertEquals(48, other.discarded().duplicateReports());
        assertFalse(one.addReport(all.get(0), 30), "too late");
        assertFalse(one.addReport(new NodeReport(0, "x", 500, List.of()), 30), "from the future");
        List<Cell> many = new ArrayList<>();
        for (int i = 0; i < 3000; i++) {
            many.add(new Cell(1, 0, "m" + i, -1, 1, 0, 0, 0, 1, 1, 1));
        }
        many.add(0, new Cell(1, 0, "m", -1, 1, 5, 0, 0, 1, 1, 1));
        one.addReport(new NodeReport(9, "x", 30, many), 30);
        assertEquals(3000 - NodeReport.MAX_CELLS, one.discarded().overLimitCells());
        assertEquals(2, one.discarded().invalidCells(), "a report from the future, and a cell that cannot be true");
    }

    /** The mean of the ratio under chance is 1: what makes looking at it any time safe. */
    @Property(tries = 200)
    void ratiosOfOddsAverageToOneUnderChance(
            @ForAll @IntRange(min = 1, max = 60) int own,
            @ForAll @IntRange(min = 1, max = 200) int others,
            @ForAll @DoubleRange(min = 1.5, max = 40) double odds,
            @ForAll @IntRange(min = 1, max = 50) int hits) {
        int all = own + others;
        int hit = Math.min(hits, all);
        HypergeometricDistribution dealt = new HypergeometricDistribution(null, all, own, hit);
        double mean = 0;
        for (int x = dealt.getSupportLowerBound(); x <= dealt.getSupportUpperBound(); x++) {
            mean += dealt.probability(x)
                    * Math.exp(OddsRatioEvidence.logLikelihoodRatio(new ContingencyTable(x, own, hit, all), odds, 1));
        }
        assertEquals(1, mean, 1e-6);
    }

    @Test
    void honestBuildsAreSeldomBlamedHoweverOftenLookedAt() {
        int blamed = 0;
        for (int day = 0; day < 60; day++) {
            CountEvidence c = new CountEvidence(1);
            double most = 0;
            for (int s = 0; s < 100; s++) {
                c.beginSecond(1);
                int hits = 0, own = 0;
                for (int i = 0; i < 100; i++) {
                    boolean hit = random.nextInt(20) == 0;
                    hits += hit ? 1 : 0;
                    own += hit && i < 10 ? 1 : 0;
                }
                c.add(0, 0, new ContingencyTable(own, 10, hits, 100));
                most = Math.max(most, c.logEValue());
            }
            blamed += most > Math.log(20) ? 1 : 0;
        }
        // by Ville's inequality under 1 in 20 of them, ever
        assertTrue(blamed <= 6, "blamed " + blamed);
    }
}

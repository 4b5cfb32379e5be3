package laurelkeel.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.IntStream;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/** Many made-up release days judged by the blame and by the naive ways, as a table and two charts. */
public final class AttributionBenchmark {
    private AttributionBenchmark() {}

    /** Plays so many days of each kind on all cores, prints the table and writes charts where a folder is given. */
    public static void run(int daysEach, int daysHonest, long seed, Path charts, PrintStream out) throws IOException {
        Map<AttributionScenario.Bad, List<AttributionScenario.Result>> all =
                new EnumMap<>(AttributionScenario.Bad.class);
        for (AttributionScenario.Bad bad : AttributionScenario.Bad.values()) {
            int n = bad == AttributionScenario.Bad.NONE ? daysHonest : daysEach;
            all.put(
                    bad,
                    IntStream.range(0, n)
                            .parallel()
                            .mapToObj(i -> new AttributionScenario(seed + i, bad).play())
                            .toList());
        }
        out.println(
                "| bad in | days | caught | honest blamed | honest set aside to tell | seconds to verdict: median | 95th | harm before: median "
                        + "reqs | worst rate right | newest right | each alone: right | each alone: honest blamed |");
        out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        List<AttributionScenario.Result> bad = new ArrayList<>(), every = new ArrayList<>();
        all.forEach((kind, days) -> {
            out.println(row(
                    kind.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                    days,
                    kind != AttributionScenario.Bad.NONE));
            every.addAll(days);
            if (kind != AttributionScenario.Bad.NONE) {
                bad.addAll(days);
            }
        });
        out.println(row("all that are bad", bad, true));
        out.println(row("all", every, false));
        if (charts != null) {
            Files.createDirectories(charts);
            chart(all, charts);
        }
    }

    private static String share(
            List<AttributionScenario.Result> of, java.util.function.Predicate<AttributionScenario.Result> what) {
        return String.format(
                Locale.ROOT, "%.1f%%", 100.0 * of.stream().filter(what).count() / of.size());
    }

    private static double at(double[] sorted, double share) {
        return sorted.length == 0 ? Double.NaN : sorted[(int) Math.min(sorted.length - 1, share * sorted.length)];
    }

    private static String row(String name, List<AttributionScenario.Result> days, boolean isBad) {
        double[] times = days.stream()
                .filter(AttributionScenario.Result::caught)
                .mapToDouble(AttributionScenario.Result::seconds)
                .sorted()
                .toArray();
        double[] harm = days.stream()
                .mapToDouble(AttributionScenario.Result::harm)
                .sorted()
                .toArray();
        return "| " + name + " | " + days.size() + " | "
                + (isBad ? share(days, AttributionScenario.Result::caught) : "-") + " | "
                + share(days, AttributionScenario.Result::honestBlamed) + " | " + share(days, d -> d.asides() > 0)
                + " | "
                + (isBad
                        ? String.format(
                                Locale.ROOT, "%.0f | %.0f | %.0f", at(times, 0.5), at(times, 0.95), at(harm, 0.5))
                        : "- | - | -")
                + " | "
                + (isBad
                        ? share(days, AttributionScenario.Result::worstRight) + " | "
                                + share(days, AttributionScenario.Result::newestRight) + " | "
                                + share(days, AttributionScenario.Result::aloneRight)
                        : "- | - | -")
                + " | " + share(days, AttributionScenario.Result::aloneWrong) + " |";
    }

    private static void chart(Map<AttributionScenario.Bad, List<AttributionScenario.Result>> all, Path folder)
            throws IOException {
        List<AttributionScenario.Bad> kinds = Arrays.stream(AttributionScenario.Bad.values())
                .filter(b -> b != AttributionScenario.Bad.NONE)
                .toList();
        List<String> names = kinds.stream()
                .map(b -> b.name().toLowerCase(Locale.ROOT).replace('_', ' '))
                .toList();
        CategoryChart right = new CategoryChartBuilder()
                .width(1000)
                .height(450)
                .title("Blame lands on the bad release")
                .yAxisTitle("% of days")
                .build();
        right.addSeries("blame", names, share(all, kinds, AttributionScenario.Result::caught));
        right.addSeries("worst rate", names, share(all, kinds, AttributionScenario.Result::worstRight));
        right.addSeries("newest", names, share(all, kinds, AttributionScenario.Result::newestRight));
        right.addSeries("each alone", names, share(all, kinds, AttributionScenario.Result::aloneRight));
        right.getStyler().setXAxisLabelRotation(30);
        BitmapEncoder.saveBitmap(right, folder.resolve("blame-right").toString(), BitmapEncoder.BitmapFormat.PNG);
        CategoryChart time = new CategoryChartBuilder()
                .width(1000)
                .height(450)
                .title("Time from offer to verdict")
                .yAxisTitle("seconds")
                .build();
        for (double q : new double[] {0.5, 0.95}) {
            time.addSeries(
                    q == 0.5 ? "median" : "95th",
                    names,
                    kinds.stream()
                            .map(k -> at(
                                    all.get(k).stream()
                                            .filter(AttributionScenario.Result::caught)
                                            .mapToDouble(AttributionScenario.Result::seconds)
                                            .sorted()
                                            .toArray(),
                                    q))
                            .toList());
        }
        time.getStyler().setXAxisLabelRotation(30);
        BitmapEncoder.saveBitmap(time, folder.resolve("blame-time").toString(), BitmapEncoder.BitmapFormat.PNG);
    }

    private static List<Double> share(
            Map<AttributionScenario.Bad, List<AttributionScenario.Result>> all,
            List<AttributionScenario.Bad> kinds,
            java.util.function.Predicate<AttributionScenario.Result> what) {
        return kinds.stream()
                .map(k -> 100.0
                        * all.get(k).stream().filter(what).count()
                        / all.get(k).size())
                .toList();
    }
}

package laurelkeel.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import laurelkeel.bench.AttributionScenario.Result;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/**
 * Charts of the results of the attribution and of the naive rules on generated days, by the fault of the bad release.
 */
final class AttributionCharts {
    private static final int WIDTH = 1_000;
    private static final int HEIGHT = 450;
    private static final int LABEL_ROTATION_DEGREES = 30;
    private static final List<ReleaseFault> FAULTS = Arrays.stream(ReleaseFault.values())
            .filter(fault -> fault != ReleaseFault.NONE)
            .toList();
    private static final List<String> LABELS =
            FAULTS.stream().map(ReleaseFault::label).toList();

    private AttributionCharts() {}

    /** Writes the charts into a folder, which is created if it does not exist. */
    static void write(Map<ReleaseFault, List<Result>> resultsByFault, Path folder) throws IOException {
        Files.createDirectories(folder);
        CategoryChart right = chart("Blame lands on the bad release", "% of days");
        addPercentages(right, "blame", resultsByFault, Result::caught);
        addPercentages(right, "worst rate", resultsByFault, Result::worstRight);
        addPercentages(right, "newest", resultsByFault, Result::newestRight);
        addPercentages(right, "each alone", resultsByFault, Result::testedAloneRight);
        save(right, folder.resolve("blame-right"));
        CategoryChart time = chart("Time from offer to verdict", "seconds");
        addSeries(time, "median", resultsByFault, results -> ResultStatistics.secondsToVerdict(results, 0.5));
        addSeries(time, "95th", resultsByFault, results -> ResultStatistics.secondsToVerdict(results, 0.95));
        save(time, folder.resolve("blame-time"));
    }

    private static CategoryChart chart(String title, String yAxisTitle) {
        CategoryChart chart = new CategoryChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(title)
                .yAxisTitle(yAxisTitle)
                .build();
        chart.getStyler().setXAxisLabelRotation(LABEL_ROTATION_DEGREES);
        return chart;
    }

    private static void addPercentages(
            CategoryChart chart,
            String name,
            Map<ReleaseFault, List<Result>> resultsByFault,
            Predicate<Result> condition) {
        addSeries(chart, name, resultsByFault, results -> ResultStatistics.percent(results, condition));
    }

    private static void addSeries(
            CategoryChart chart,
            String name,
            Map<ReleaseFault, List<Result>> resultsByFault,
            Function<List<Result>, Double> figure) {
        List<Double> values = FAULTS.stream()
                .map(fault -> figure.apply(resultsByFault.getOrDefault(fault, List.of())))
                .toList();
        chart.addSeries(name, LABELS, values);
    }

    private static void save(CategoryChart chart, Path file) throws IOException {
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}

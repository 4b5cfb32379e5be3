package laurelkeel.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.IntStream;
import laurelkeel.bench.AttributionScenario.Result;
import org.jspecify.annotations.Nullable;

/** Compares the attribution with naive rules on many generated release days, and reports a table and two charts. */
public final class AttributionBenchmark {
    private static final String HEADER =
            "| bad in | days | caught | honest blamed | honest set aside to tell | seconds to verdict: median | 95th | harm before: median "
                    + "reqs | worst rate right | newest right | each alone: right | each alone: honest blamed |\n"
                    + "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

    private AttributionBenchmark() {}

    /**
     * Runs the days on all cores and prints the table.
     *
     * @param badDays number of days for each fault
     * @param goodDays number of days without a bad release
     * @param seed seed of the first day of each fault; the next days use the next numbers
     * @param chartFolder the folder to which the charts are written; null for no charts
     * @throws IOException if the charts cannot be written
     */
    public static void run(int badDays, int goodDays, long seed, @Nullable Path chartFolder, PrintStream out)
            throws IOException {
        Map<ReleaseFault, List<Result>> resultsByFault = new EnumMap<>(ReleaseFault.class);
        for (ReleaseFault fault : ReleaseFault.values()) {
            resultsByFault.put(fault, runDays(fault, fault == ReleaseFault.NONE ? goodDays : badDays, seed));
        }
        print(resultsByFault, out);
        if (chartFolder != null) {
            AttributionCharts.write(resultsByFault, chartFolder);
        }
    }

    private static List<Result> runDays(ReleaseFault fault, int days, long seed) {
        return IntStream.range(0, days)
                .parallel()
                .mapToObj(day -> new AttributionScenario(seed + day, fault).run())
                .toList();
    }

    private static void print(Map<ReleaseFault, List<Result>> resultsByFault, PrintStream out) {
        out.println(HEADER);
        List<Result> badDayResults = new ArrayList<>();
        List<Result> all = new ArrayList<>();
        resultsByFault.forEach((fault, results) -> {
            boolean isBad = fault != ReleaseFault.NONE;
            out.println(row(fault.label(), results, isBad));
            all.addAll(results);
            if (isBad) {
                badDayResults.addAll(results);
            }
        });
        out.println(row("all that are bad", badDayResults, true));
        out.println(row("all", all, false));
    }

    private static String row(String name, List<Result> results, boolean isBad) {
        List<String> columns = new ArrayList<>();
        columns.add(name);
        columns.add(Integer.toString(results.size()));
        columns.add(isBad ? percent(ResultStatistics.percent(results, Result::caught)) : "-");
        columns.add(percent(ResultStatistics.percent(results, Result::goodBuildBlamed)));
        columns.add(percent(ResultStatistics.percent(results, result -> result.goodBuildsSetAside() > 0)));
        if (isBad) {
            columns.add(rounded(ResultStatistics.secondsToVerdict(results, 0.5)));
            columns.add(rounded(ResultStatistics.secondsToVerdict(results, 0.95)));
            columns.add(rounded(ResultStatistics.harmedRequests(results, 0.5)));
            columns.add(percent(ResultStatistics.percent(results, Result::worstRight)));
            columns.add(percent(ResultStatistics.percent(results, Result::newestRight)));
            columns.add(percent(ResultStatistics.percent(results, Result::testedAloneRight)));
        } else {
            columns.addAll(List.of("-", "-", "-", "-", "-", "-"));
        }
        columns.add(percent(ResultStatistics.percent(results, Result::testedAloneWrong)));
        return "| " + String.join(" | ", columns) + " |";
    }

    private static String percent(double percent) {
        return String.format(Locale.ROOT, "%.1f%%", percent);
    }

    private static String rounded(double value) {
        return String.format(Locale.ROOT, "%.0f", value);
    }
}

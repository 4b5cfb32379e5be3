package laurelkeel.scenario;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import laurelkeel.audit.AuditReport;
import laurelkeel.audit.RuleVerdict;
import laurelkeel.audit.RuleViolation;
import laurelkeel.records.RecordClock;
import laurelkeel.records.TrafficRecord;
import laurelkeel.testbed.LoadRoute;
import laurelkeel.testbed.RouteStatistics;
import org.HdrHistogram.Histogram;

/** Formats the results of a scenario as human-readable text, whose last line scripts may parse. */
public final class ScenarioReport {
    private static final int MAX_VIOLATIONS_SHOWN = 10;
    private static final String NO_ATTRIBUTION = "none";

    private ScenarioReport() {}

    static String format(
            Scenario scenario,
            long seed,
            Map<String, RouteStatistics> statistics,
            List<TrafficRecord> records,
            AuditReport report) {
        StringBuilder text = new StringBuilder();
        text.append(String.format(Locale.ROOT, "%nday %s, seed %d%n%n", scenario.name(), seed));
        appendStatistics(text, scenario, statistics);
        appendAttempts(text, records);
        long startTicks = records.stream()
                .filter(TrafficRecord.RequestSent.class::isInstance)
                .mapToLong(TrafficRecord::timeTicks)
                .min()
                .orElse(0);
        appendStages(text, records, startTicks);
        appendAttributions(text, records, startTicks);
        text.append('\n').append(formatVerdicts(report));
        return text.toString();
    }

    private static void appendStatistics(
            StringBuilder text, Scenario scenario, Map<String, RouteStatistics> statistics) {
        appendRow(
                text,
                "route",
                "reqs",
                "tries",
                "completed",
                "shed",
                "errored",
                "broke",
                "left",
                "no front",
                "p50 ms",
                "p99 ms",
                "within",
                "of reqs");
        statistics.forEach((route, routeStatistics) -> {
            Histogram completionTicks = routeStatistics.completionTicks();
            long objectiveTicks = scenario.commonSettings()
                    .routes()
                    .get(indexOfRoute(scenario, route))
                    .latencyObjectiveTicks();
            long withinObjective = completionTicks.getCountBetweenValues(0, objectiveTicks);
            appendRow(
                    text,
                    route,
                    routeStatistics.calls(),
                    routeStatistics.requests(),
                    routeStatistics.completed(),
                    routeStatistics.rejected(),
                    routeStatistics.failed(),
                    routeStatistics.connectionsBroken(),
                    routeStatistics.closedEarly(),
                    routeStatistics.connectFailures(),
                    completionTicks.getValueAtPercentile(50) / RecordClock.TICKS_PER_MILLISECOND,
                    completionTicks.getValueAtPercentile(99) / RecordClock.TICKS_PER_MILLISECOND,
                    formatShare(withinObjective, routeStatistics.calls()),
                    formatShare(routeStatistics.completed(), routeStatistics.calls()));
        });
    }

    private static int indexOfRoute(Scenario scenario, String name) {
        List<LoadRoute> routes = scenario.loadProfile().routes();
        for (int i = 0; i < routes.size(); i++) {
            if (routes.get(i).name().equals(name)) {
                return i;
            }
        }
        throw new IllegalArgumentException("the load profile has no route '" + name + "'");
    }

    private static void appendAttempts(StringBuilder text, List<TrafficRecord> records) {
        text.append(String.format(
                "%nupstream tries %d, turned away %d; votes %d%n",
                count(records, TrafficRecord.AttemptArrived.class),
                count(records, TrafficRecord.AttemptRejected.class),
                count(records, TrafficRecord.VoteReceived.class)));
    }

    private static long count(List<TrafficRecord> records, Class<? extends TrafficRecord> type) {
        return records.stream().filter(type::isInstance).count();
    }

    private static void appendStages(StringBuilder text, List<TrafficRecord> records, long startTicks) {
        text.append("stages:");
        for (TrafficRecord trafficRecord : records) {
            if (trafficRecord instanceof TrafficRecord.RolloutStageChanged change) {
                text.append(String.format(
                        Locale.ROOT,
                        " %d/%d %s at %.1f s;",
                        change.build(),
                        change.stage(),
                        change.phase().storedName().toLowerCase(Locale.ROOT).replace('_', ' '),
                        secondsSince(startTicks, change)));
            }
        }
        text.append('\n');
    }

    private static void appendAttributions(StringBuilder text, List<TrafficRecord> records, long startTicks) {
        for (TrafficRecord trafficRecord : records) {
            if (trafficRecord instanceof TrafficRecord.AttributionPublished published
                    && !published.attribution().equals(NO_ATTRIBUTION)) {
                text.append(String.format(
                        Locale.ROOT,
                        "blame: %s, probability %.3f, at %.1f s: %s%n",
                        published.attribution(),
                        published.probability(),
                        secondsSince(startTicks, published),
                        published.evidence()));
            }
        }
    }

    private static double secondsSince(long startTicks, TrafficRecord trafficRecord) {
        return (trafficRecord.timeTicks() - startTicks) / (double) RecordClock.TICKS_PER_SECOND;
    }

    /**
     * Formats the verdicts on all rules, each with its first 10 violations, followed by the summary line, which is the
     * last line of a report.
     */
    public static String formatVerdicts(AuditReport report) {
        StringBuilder text = new StringBuilder();
        for (RuleVerdict verdict : report.verdicts()) {
            text.append(String.format(
                    Locale.ROOT,
                    "rule %d  %-32s %-6s %8d looked at, nearest %4.0f%% of the limit: %s%n",
                    verdict.ruleNumber(),
                    verdict.name(),
                    verdict.isKept() ? "kept" : "BROKEN",
                    verdict.checkedCount(),
                    verdict.nearestShare() * 100,
                    verdict.nearestDescription()));
            appendViolations(text, verdict.violations());
        }
        text.append(String.format(
                "rules kept %d/5, reqs %d, unanswered %d%n",
                report.rulesKept(), report.requestCount(), report.unansweredCount()));
        return text.toString();
    }

    private static void appendViolations(StringBuilder text, List<RuleViolation> violations) {
        int shownCount = Math.min(MAX_VIOLATIONS_SHOWN, violations.size());
        for (RuleViolation violation : violations.subList(0, shownCount)) {
            text.append(String.format(
                    Locale.ROOT,
                    "        at %.1f ms, req %s: %s%n",
                    violation.timeTicks() / RecordClock.TICKS_PER_MILLISECOND,
                    violation.requestId(),
                    violation.description()));
        }
        if (violations.size() > shownCount) {
            text.append("        and ").append(violations.size() - shownCount).append(" more\n");
        }
    }

    private static String formatShare(long part, long total) {
        double share = total == 0 ? 0 : part / (double) total;
        return String.format(Locale.ROOT, "%.1f%%", share * 100);
    }

    private static void appendRow(StringBuilder text, Object... cells) {
        for (int i = 0; i < cells.length; i++) {
            text.append(String.format(i == 0 ? "%-14s" : "%10s", cells[i]));
        }
        text.append('\n');
    }
}

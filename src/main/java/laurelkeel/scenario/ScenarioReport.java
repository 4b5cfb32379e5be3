package laurelkeel.scenario;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import laurelkeel.audit.AuditReport;
import laurelkeel.audit.RuleVerdict;
import laurelkeel.audit.RuleViolation;
import laurelkeel.records.TrafficRecord;
import laurelkeel.testbed.LoadGenerator;
import org.HdrHistogram.Histogram;

/** A day's table for people; the last line for scripts. */
public final class ScenarioReport {
    private static final int SHOWN = 10;

    private ScenarioReport() {}

    static String format(
            Scenario plan,
            long seed,
            Map<String, LoadGenerator.RouteStatistics> tallies,
            List<TrafficRecord> records,
            AuditReport j) {
        StringBuilder s = new StringBuilder();
        s.append(String.format(Locale.ROOT, "%nday %s, seed %d%n%n", plan.name(), seed));
        row(
                s,
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
        tallies.forEach((route, t) -> {
            Histogram h = t.completionTicks;
            long objective =
                    plan.commonSettings().routes().get(routeOf(plan, route)).latencyObjectiveTicks();
            double within = t.calls == 0 ? 0 : h.getCountBetweenValues(0, objective) / (double) t.calls;
            row(
                    s,
                    route,
                    t.calls,
                    t.requests,
                    t.completed,
                    t.rejected,
                    t.failed,
                    t.connectionsBroken,
                    t.closedEarly,
                    t.connectFailures,
                    h.getValueAtPercentile(50) / 10.0,
                    h.getValueAtPercentile(99) / 10.0,
                    percent(within),
                    percent(t.calls == 0 ? 0 : t.callsCompleted / (double) t.calls));
        });
        long arrived = records.stream()
                .filter(r -> r instanceof TrafficRecord.AttemptArrived)
                .count();
        long turned = records.stream()
                .filter(r -> r instanceof TrafficRecord.AttemptRejected)
                .count();
        long votes = records.stream()
                .filter(r -> r instanceof TrafficRecord.VoteReceived)
                .count();
        s.append(String.format("%nupstream tries %d, turned away %d; votes %d%n", arrived, turned, votes));
        long start = records.stream()
                .filter(r -> r instanceof TrafficRecord.RequestSent)
                .mapToLong(TrafficRecord::timeTicks)
                .min()
                .orElse(0);
        s.append("stages:");
        for (TrafficRecord r : records) {
            if (r instanceof TrafficRecord.RolloutStageChanged g) {
                s.append(String.format(
                        Locale.ROOT,
                        " %d/%d %s at %.1f s;",
                        g.build(),
                        g.stage(),
                        g.phase().storedName().toLowerCase(Locale.ROOT).replace('_', ' '),
                        (g.timeTicks() - start) / 10_000.0));
            }
        }
        s.append('\n');
        for (TrafficRecord r : records) {
            if (r instanceof TrafficRecord.AttributionPublished b
                    && !b.attribution().equals("none")) {
                s.append(String.format(
                        Locale.ROOT,
                        "blame: %s, probability %.3f, at %.1f s: %s%n",
                        b.attribution(),
                        b.probability(),
                        (b.timeTicks() - start) / 10_000.0,
                        b.evidence()));
            }
        }
        s.append('\n');
        return s + formatVerdicts(j);
    }

    private static int routeOf(Scenario plan, String name) {
        for (int i = 0; i < plan.loadProfile().routes().size(); i++) {
            if (plan.loadProfile().routes().get(i).name().equals(name)) {
                return i;
            }
        }
        throw new IllegalArgumentException(name);
    }

    /** The five verdicts and the last line. */
    public static String formatVerdicts(AuditReport j) {
        StringBuilder s = new StringBuilder();
        for (RuleVerdict v : j.verdicts()) {
            s.append(String.format(
                    Locale.ROOT,
                    "rule %d  %-32s %-6s %8d looked at, nearest %4.0f%% of the limit: %s%n",
                    v.ruleNumber(),
                    v.name(),
                    v.isKept() ? "kept" : "BROKEN",
                    v.checkedCount(),
                    v.nearestShare() * 100,
                    v.nearestDescription()));
            List<RuleViolation> b = v.violations();
            for (RuleViolation x : b.subList(0, Math.min(SHOWN, b.size()))) {
                s.append(String.format(
                        Locale.ROOT,
                        "        at %.1f ms, req %s: %s%n",
                        x.timeTicks() / 10.0,
                        x.requestId(),
                        x.description()));
            }
            if (b.size() > SHOWN) {
                s.append("        and ").append(b.size() - SHOWN).append(" more\n");
            }
        }
        s.append(String.format(
                "rules kept %d/5, reqs %d, unanswered %d%n", j.rulesKept(), j.requestCount(), j.unansweredCount()));
        return s.toString();
    }

    private static String percent(double share) {
        return String.format(Locale.ROOT, "%.1f%%", share * 100);
    }

    private static void row(StringBuilder s, Object... cells) {
        for (int i = 0; i < cells.length; i++) {
            s.append(String.format(i == 0 ? "%-14s" : "%10s", cells[i]));
        }
        s.append('\n');
    }
}

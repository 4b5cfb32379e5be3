package laurelkeel.testbed;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import laurelkeel.attribution.AttributionFinding;
import laurelkeel.attribution.DiscardCounts;
import laurelkeel.attribution.NodeReport;
import laurelkeel.attribution.RegressionAttributor;
import laurelkeel.records.RecordClock;
import org.jspecify.annotations.Nullable;

/**
 * The part of the rollout service that attributes regressions to builds: collects the nodes' reports and returns
 * findings. Not thread-safe; used on the service's loop.
 */
final class AttributionService {
    /** Published for a build without a finding. */
    static final String NONE = "none";
    /** Published for a build that may be the cause of a regression. */
    static final String OPEN = "open";
    /** Published for a build that is the cause of a regression. */
    static final String GUILTY = "guilty";

    private static final long MAX_REPORT_DELAY_SECONDS = 4;
    private static final int MAX_INCARNATIONS = 10_000;
    private static final long MAX_OFFSET_DRIFT_SECONDS = 2;
    private static final double MILLIS_PER_SECOND = 1000;

    /** The response to a query for all findings. */
    record Summary(
            List<AttributionFinding> findings,
            @JsonProperty("reportsDoubled") long duplicateReports,
            @JsonProperty("reportsLate") long lateReports,
            @JsonProperty("cellsUnsound") long invalidCells,
            @JsonProperty("beyondBounds") long overLimitCells) {}

    private record NodeKey(int nodeIndex, String incarnation) {}

    private final RegressionAttributor attributor;
    /**
     * Difference between the service's and a node's seconds, measured at the first report; replaced after a larger
     * drift.
     */
    private final Map<NodeKey, Long> offsetSeconds = new HashMap<>();

    private List<AttributionFinding> findings = List.of();

    AttributionService(int routeCount) {
        attributor = new RegressionAttributor(routeCount, MAX_REPORT_DELAY_SECONDS);
    }

    void rolloutStarted(int build, long nowTicks) {
        attributor.rolloutStarted(build, nowTicks / RecordClock.TICKS_PER_SECOND);
    }

    void rolloutEnded(int build, boolean isReleased) {
        attributor.rolloutEnded(build, isReleased);
    }

    void rolloutSetAside(int build) {
        attributor.rolloutSetAside(build);
    }

    /**
     * Adds a report after converting its second to the service's clock.
     *
     * @return whether the report was accepted
     */
    boolean addReport(ReceivedReport report, long nowTicks) {
        double coveredMillis = nowTicks / RecordClock.TICKS_PER_MILLISECOND - report.ageMillis();
        long serviceSecond = (long) Math.floor(coveredMillis / MILLIS_PER_SECOND);
        if (offsetSeconds.size() >= MAX_INCARNATIONS) {
            offsetSeconds.clear();
        }
        long offset = offsetSeconds.merge(
                new NodeKey(report.nodeIndex(), report.incarnation()),
                serviceSecond - report.nodeSecond(),
                (known, measured) -> Math.abs(known - measured) > MAX_OFFSET_DRIFT_SECONDS ? measured : known);
        NodeReport aligned =
                new NodeReport(report.nodeIndex(), report.incarnation(), report.nodeSecond() + offset, report.cells());
        return attributor.addReport(aligned, nowTicks / RecordClock.TICKS_PER_SECOND);
    }

    List<AttributionFinding> evaluate(long nowTicks) {
        findings = attributor.evaluate(nowTicks / RecordClock.TICKS_PER_SECOND);
        return findings;
    }

    private @Nullable AttributionFinding findingFor(int build) {
        return findings.stream()
                .filter(finding -> finding.build() == build)
                .findFirst()
                .orElse(null);
    }

    /** Returns the attribution that updates on a build's rollout carry. */
    String attributionOf(int build) {
        AttributionFinding finding = findingFor(build);
        if (finding == null) {
            return NONE;
        }
        if (finding.verdict() == AttributionFinding.Verdict.GUILTY) {
            return GUILTY;
        }
        if (finding.setAside()) {
            return "set-aside";
        }
        if (finding.hold()) {
            return OPEN;
        }
        return finding.verdict() == AttributionFinding.Verdict.CLEARED ? "cleared" : NONE;
    }

    Summary summary() {
        DiscardCounts discarded = attributor.discarded();
        return new Summary(
                findings,
                discarded.duplicateReports(),
                discarded.lateReports(),
                discarded.invalidCells(),
                discarded.overLimitCells());
    }
}

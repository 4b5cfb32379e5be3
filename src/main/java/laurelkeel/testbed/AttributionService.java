package laurelkeel.testbed;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import laurelkeel.attribution.AttributionFinding;
import laurelkeel.attribution.DiscardCounts;
import laurelkeel.attribution.NodeReport;
import laurelkeel.attribution.RegressionAttributor;

/** The line's side of the blame: fronts' reports in, findings out. On the line's thread. */
final class AttributionService {
    private static final long PATIENCE = 4;
    private static final int MOST_LIVES = 10_000;

    private final RegressionAttributor blame;
    /** A front counts its own seconds; when its first report of a life came says which of the line's they are. */
    private final Map<String, Long> offsets = new HashMap<>();

    private List<AttributionFinding> findings = List.of();

    AttributionService(int routes) {
        blame = new RegressionAttributor(routes, PATIENCE);
    }

    void offered(int build, long now) {
        blame.rolloutStarted(build, now / 10_000);
    }

    void ended(int build, boolean released) {
        blame.rolloutEnded(build, released);
    }

    void setAside(int build) {
        blame.rolloutSetAside(build);
    }

    /** Takes a report as it came over the wire; its errors are said. */
    String take(JsonNode r, long now) {
        int front = r.path("front").asInt(-1);
        String life = r.path("life").asText("");
        if (front < 0
                || life.isEmpty()
                || !r.path("second").isIntegralNumber()
                || !r.path("cells").isArray()) {
            return "a report has front, life, second, agoMs and cells";
        }
        long own = r.path("second").asLong();
        long mine = (long) Math.floor((now / 10.0 - Math.max(0, r.path("agoMs").asDouble())) / 1000);
        String name = front + "/" + life;
        if (offsets.size() >= MOST_LIVES) {
            offsets.clear();
        }
        long offset = offsets.merge(name, mine - own, (was, is) -> Math.abs(was - is) > 2 ? is : was);
        List<NodeReport.Cell> cells = new ArrayList<>();
        for (JsonNode c : r.path("cells")) {
            cells.add(new NodeReport.Cell(
                    c.path("build").asInt(-1),
                    c.path("route").asInt(-1),
                    c.path("machine").asText(null),
                    c.path("customer").asInt(-1),
                    c.path("tries").asInt(),
                    c.path("fails").asInt(),
                    c.path("silent").asInt(),
                    c.path("wrongs").asInt(),
                    c.path("rated").asInt(),
                    c.path("logTime").asDouble(),
                    c.path("logSquare").asDouble()));
        }
        return blame.addReport(new NodeReport(front, life, own + offset, cells), now / 10_000) ? null : "left out";
    }

    List<AttributionFinding> judge(long now) {
        findings = blame.evaluate(now / 10_000);
        return findings;
    }

    AttributionFinding of(int build) {
        return findings.stream().filter(f -> f.build() == build).findFirst().orElse(null);
    }

    /** The word that goes with the news of a build. */
    String word(int build) {
        AttributionFinding f = of(build);
        return f == null
                ? "none"
                : f.verdict() == AttributionFinding.Verdict.GUILTY
                        ? "guilty"
                        : f.setAside()
                                ? "set-aside"
                                : f.hold()
                                        ? "open"
                                        : f.verdict() == AttributionFinding.Verdict.CLEARED ? "cleared" : "none";
    }

    Map<String, Object> told() {
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("findings", findings);
        DiscardCounts discarded = blame.discarded();
        out.put("reportsDoubled", discarded.duplicateReports());
        out.put("reportsLate", discarded.lateReports());
        out.put("cellsUnsound", discarded.invalidCells());
        out.put("beyondBounds", discarded.overLimitCells());
        return out;
    }
}

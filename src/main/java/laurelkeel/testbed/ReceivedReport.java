package laurelkeel.testbed;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import laurelkeel.attribution.NodeReport;

/**
 * A node's report on its attempts as received.
 *
 * @param nodeSecond the second that the report covers, by the node's clock
 * @param ageMillis how long ago that second was when the report was sent
 */
record ReceivedReport(
        int nodeIndex, String incarnation, long nodeSecond, double ageMillis, List<NodeReport.Cell> cells) {

    /**
     * Parses a report.
     *
     * @throws InvalidReportException if a required property is missing or has the wrong type
     */
    static ReceivedReport parse(JsonNode report) throws InvalidReportException {
        int nodeIndex = report.path("front").asInt(-1);
        String incarnation = report.path("life").asText("");
        if (nodeIndex < 0
                || incarnation.isEmpty()
                || !report.path("second").isIntegralNumber()
                || !report.path("cells").isArray()) {
            throw new InvalidReportException("a report has front, life, second, agoMs and cells");
        }
        List<NodeReport.Cell> cells = new ArrayList<>();
        for (JsonNode cell : report.path("cells")) {
            cells.add(parseCell(cell));
        }
        double ageMillis = Math.max(0, report.path("agoMs").asDouble());
        return new ReceivedReport(nodeIndex, incarnation, report.path("second").asLong(), ageMillis, cells);
    }

    private static NodeReport.Cell parseCell(JsonNode cell) {
        return new NodeReport.Cell(
                cell.path("build").asInt(-1),
                cell.path("route").asInt(-1),
                cell.path("machine").asText(null),
                cell.path("customer").asInt(-1),
                cell.path("tries").asInt(),
                cell.path("fails").asInt(),
                cell.path("silent").asInt(),
                cell.path("wrongs").asInt(),
                cell.path("rated").asInt(),
                cell.path("logTime").asDouble(),
                cell.path("logSquare").asDouble());
    }
}

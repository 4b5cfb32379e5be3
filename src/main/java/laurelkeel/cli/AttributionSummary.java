package laurelkeel.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

/**
 * The findings of a rollout service from its nodes' reports.
 *
 * @param duplicateReports number of reports that were received more than once
 * @param lateReports number of reports that were received too late to be counted
 * @param invalidCells number of cells of reports that had impossible values
 * @param overLimitCells number of cells that exceeded the size limits of a report
 */
record AttributionSummary(
        List<Finding> findings, long duplicateReports, long lateReports, long invalidCells, long overLimitCells) {

    /**
     * What is known about one build's part in a regression.
     *
     * @param verdict the verdict's name, as the service sends it
     * @param probability the probability that the build causes a regression, from 0 to 1
     * @param kind the kind of the strongest evidence against the build, as the service sends it
     * @param effect how much worse the build is, a difference of shares or a ratio of latencies
     * @param low lower limit of the effect's 95% confidence interval
     * @param high upper limit of the effect's 95% confidence interval
     * @param evidence the evidence as one sentence
     * @param considered other causes that were examined, each with the result
     * @param hold whether the build should not be promoted for now
     * @param afterSeconds seconds since the rollout started
     */
    record Finding(
            int build,
            String verdict,
            double probability,
            String kind,
            double effect,
            double low,
            double high,
            String evidence,
            List<String> considered,
            boolean hold,
            long afterSeconds) {}

    /**
     * Parses the service's response; missing fields are empty or 0.
     *
     * @throws JsonProcessingException if the text is not JSON
     */
    static AttributionSummary parse(String json) throws JsonProcessingException {
        JsonNode report = new ObjectMapper().readTree(json);
        return new AttributionSummary(
                elements(report.path("findings"))
                        .map(AttributionSummary::finding)
                        .toList(),
                report.path("reportsDoubled").asLong(),
                report.path("reportsLate").asLong(),
                report.path("cellsUnsound").asLong(),
                report.path("beyondBounds").asLong());
    }

    private static Finding finding(JsonNode node) {
        return new Finding(
                node.path("build").asInt(),
                node.path("verdict").asText(),
                node.path("probability").asDouble(),
                node.path("kind").asText(),
                node.path("effect").asDouble(),
                node.path("low").asDouble(),
                node.path("high").asDouble(),
                node.path("evidence").asText(),
                elements(node.path("considered")).map(JsonNode::asText).toList(),
                node.path("hold").asBoolean(),
                node.path("afterSeconds").asLong());
    }

    private static Stream<JsonNode> elements(JsonNode array) {
        return StreamSupport.stream(array.spliterator(), false);
    }
}

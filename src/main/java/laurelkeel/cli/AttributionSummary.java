package laurelkeel.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

/**
 * What a rollout service has found out from its nodes' reports.
 *
 * @param duplicateReports reports that came more than once
 * @param lateReports reports that came too late to be counted
 * @param invalidCells cells of reports with impossible figures
 * @param overLimitCells cells beyond the bounds of a report
 */
record AttributionSummary(
        List<Finding> findings, long duplicateReports, long lateReports, long invalidCells, long overLimitCells) {

    /**
     * What is known of one build's part in a regression.
     *
     * @param verdict the service's word for it
     * @param probability that the build causes a regression, from 0 to 1
     * @param kind the strongest evidence against it, in the service's word
     * @param effect how much worse the build is, a difference of shares or a ratio of latencies
     * @param low lower limit of the effect's 95% confidence interval
     * @param high upper limit of the effect's 95% confidence interval
     * @param evidence one sentence for people
     * @param considered other causes that were looked at, each with the result
     * @param hold whether the build should not be promoted yet
     * @param afterSeconds since the rollout started
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
     * Reads the page of findings; fields that it lacks are empty or 0.
     *
     * @throws JsonProcessingException where it is no JSON
     */
    static AttributionSummary parse(String page) throws JsonProcessingException {
        JsonNode report = new ObjectMapper().readTree(page);
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

package laurelkeel.front;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * The JSON form of a node's counts for each build in one second.
 *
 * @param second number of the second on the node's own clock in which the attempts were sent
 * @param ageMillis time since the end of that second
 */
record AttributionReport(
        @JsonProperty("front") int nodeIndex,
        @JsonProperty("life") String incarnation,
        long second,
        @JsonProperty("agoMs") double ageMillis,
        List<Cell> cells) {

    /**
     * The counts of the attempts at one endpoint for one route and tenant.
     *
     * @param failures number of attempts that were answered with an error
     * @param unanswered number of attempts that ended without an answer
     * @param complaints number of responses that clients complained about
     * @param durations number of attempts whose duration is measured: they completed at an endpoint that was warmed up
     * @param sumOfLogs sum of the natural logarithms of these durations in milliseconds
     * @param sumOfSquaredLogs sum of the squares of these logarithms
     */
    record Cell(
            int build,
            int route,
            @JsonProperty("machine") String endpointId,
            @JsonProperty("customer") int tenant,
            @JsonProperty("tries") int attempts,
            @JsonProperty("fails") int failures,
            @JsonProperty("silent") int unanswered,
            @JsonProperty("wrongs") int complaints,
            @JsonProperty("rated") int durations,
            @JsonProperty("logTime") double sumOfLogs,
            @JsonProperty("logSquare") double sumOfSquaredLogs) {}
}

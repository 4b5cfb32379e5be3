package laurelkeel.front;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * The JSON form of what a node saw of each build in one second.
 *
 * @param second on the node's own clock, by when attempts were sent
 * @param ageMillis since the second's end
 */
record AttributionReport(
        @JsonProperty("front") int nodeIndex,
        @JsonProperty("life") String incarnation,
        long second,
        @JsonProperty("agoMs") double ageMillis,
        List<Cell> cells) {

    /**
     * The attempts at one endpoint for one route and tenant.
     *
     * @param failures attempts that were answered with an error
     * @param silent attempts that ended without an answer
     * @param complaints answers that clients complained of
     * @param durations attempts whose duration counts: they completed, at an endpoint that was warm
     * @param sumOfLogs of the natural logarithms of these durations in milliseconds
     * @param sumOfSquaredLogs of the squares of these logarithms
     */
    record Cell(
            int build,
            int route,
            @JsonProperty("machine") String endpointId,
            @JsonProperty("customer") int tenant,
            @JsonProperty("tries") int attempts,
            @JsonProperty("fails") int failures,
            int silent,
            @JsonProperty("wrongs") int complaints,
            @JsonProperty("rated") int durations,
            @JsonProperty("logTime") double sumOfLogs,
            @JsonProperty("logSquare") double sumOfSquaredLogs) {}
}

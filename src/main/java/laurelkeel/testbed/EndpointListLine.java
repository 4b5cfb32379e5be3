package laurelkeel.testbed;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * A line of the endpoint list service.
 *
 * @param previous the version that a delta builds on; 0 for a snapshot
 */
record EndpointListLine(String kind, long version, long previous, @JsonProperty("machines") List<Endpoint> endpoints) {
    static final String SNAPSHOT = "full";
    static final String DELTA = "changes";

    /**
     * One endpoint.
     *
     * @param ageMillis since its cold start; {@link #STARTED_WARM} for a server that was warm from its start
     */
    record Endpoint(
            @JsonProperty("machine") String endpointId,
            int build,
            String zone,
            int cell,
            int kind,
            double size,
            String state,
            @JsonProperty("run") long incarnation,
            @JsonProperty("ageMs") double ageMillis) {
        static final double STARTED_WARM = -1;
    }
}

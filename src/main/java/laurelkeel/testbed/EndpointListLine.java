package laurelkeel.testbed;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * One line of the endpoint list service: a snapshot or a delta.
 *
 * @param previous the version to which a delta applies; 0 for a snapshot
 */
record EndpointListLine(String kind, long version, long previous, @JsonProperty("machines") List<Endpoint> endpoints) {
    static final String SNAPSHOT = "full";
    static final String DELTA = "changes";

    /**
     * One endpoint in the list.
     *
     * @param ageMillis time since its cold start; {@link #STARTED_WARM} for a server that started warm
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

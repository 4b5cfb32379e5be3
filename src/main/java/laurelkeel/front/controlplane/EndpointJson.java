package laurelkeel.front.controlplane;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.List;
import laurelkeel.api.Event.EndpointState;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** JSON form of an {@link EndpointDescription}, used in messages and in the stored list. */
@JsonIgnoreProperties(ignoreUnknown = true)
record EndpointJson(
        @JsonProperty("machine") @Nullable String endpointId,
        int build,
        @Nullable String zone,
        int cell,
        int kind,
        @JsonProperty("size") double weight,
        @Nullable String state,
        @JsonProperty("run") long incarnation,
        @JsonProperty("ageMs") double ageMillis) {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointJson.class);

    /**
     * Validates and converts descriptions.
     *
     * @throws InvalidMessageException if one of them is null or lacks a required field
     */
    static List<EndpointDescription> parse(List<@Nullable EndpointJson> endpoints) throws InvalidMessageException {
        List<EndpointDescription> descriptions = new ArrayList<>(endpoints.size());
        for (EndpointJson endpoint : endpoints) {
            if (endpoint == null) {
                throw new InvalidMessageException("an endpoint is null");
            }
            descriptions.add(endpoint.parse());
        }
        return descriptions;
    }

    private EndpointDescription parse() throws InvalidMessageException {
        String id = required("machine", endpointId);
        return new EndpointDescription(
                id,
                build,
                required("zone", zone),
                cell,
                kind,
                weight,
                parseState(id, required("state", state)),
                incarnation,
                ageMillis);
    }

    private static String required(String field, @Nullable String value) throws InvalidMessageException {
        if (value == null) {
            throw new InvalidMessageException("an endpoint has no " + field);
        }
        return value;
    }

    /** Treats an unknown state as draining: the endpoint gets no new requests, which is safe in any state. */
    private static EndpointState parseState(String endpointId, String name) {
        EndpointState state = ControlPlaneTerms.endpointState(name);
        if (state == null) {
            LOG.warn("endpoint {} has unknown state '{}'; treating it as draining", endpointId, name);
            return EndpointState.DRAINING;
        }
        return state;
    }

    static EndpointJson of(EndpointDescription endpoint) {
        return new EndpointJson(
                endpoint.endpointId(),
                endpoint.build(),
                endpoint.zone(),
                endpoint.cell(),
                endpoint.kind(),
                endpoint.weight(),
                ControlPlaneTerms.name(endpoint.state()),
                endpoint.incarnation(),
                endpoint.ageMillis());
    }
}

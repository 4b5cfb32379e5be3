package laurelkeel.front.controlplane;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** The JSON form of one line of the endpoint list's watch, and of the answer to a fetch of the whole list. */
@JsonIgnoreProperties(ignoreUnknown = true)
record EndpointListJson(
        @Nullable String kind,
        long version,
        @JsonProperty("previous") long previousVersion,
        @JsonProperty("machines") @Nullable List<@Nullable EndpointJson> endpoints) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * Reads a line.
     *
     * @return null where the line says null
     * @throws InvalidMessageException where it is no JSON of this form
     */
    static @Nullable EndpointListJson read(String text) throws InvalidMessageException {
        try {
            return JSON.readValue(text, EndpointListJson.class);
        } catch (JsonProcessingException e) {
            throw new InvalidMessageException("it could not be read: " + e.getOriginalMessage());
        }
    }

    /**
     * Checks and translates the line.
     *
     * @return null for a line that only shows that the service lives
     * @throws InvalidMessageException where a field cannot be followed
     */
    @Nullable
    EndpointListMessage parse() throws InvalidMessageException {
        if (ControlPlaneTerms.HEARTBEAT.equals(kind) || endpoints == null) {
            return null;
        }
        return new EndpointListMessage(
                ControlPlaneTerms.listKind(kind), version, previousVersion, EndpointJson.parse(endpoints));
    }
}

package laurelkeel.front.controlplane;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** JSON form of one line of the endpoint list watch, and of the response to a fetch of the whole list. */
@JsonIgnoreProperties(ignoreUnknown = true)
record EndpointListJson(
        @Nullable String kind,
        long version,
        @JsonProperty("previous") long previousVersion,
        @JsonProperty("machines") @Nullable List<@Nullable EndpointJson> endpoints) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * Reads a message from its JSON text.
     *
     * @return null if the text is the JSON value null
     * @throws InvalidMessageException if the text is not JSON of this form
     */
    static @Nullable EndpointListJson read(String text) throws InvalidMessageException {
        try {
            return JSON.readValue(text, EndpointListJson.class);
        } catch (JsonProcessingException e) {
            throw new InvalidMessageException("invalid JSON: " + e.getOriginalMessage());
        }
    }

    /**
     * Validates and converts the message.
     *
     * @return null for a heartbeat or a message without endpoints
     * @throws InvalidMessageException if a field is missing or invalid
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

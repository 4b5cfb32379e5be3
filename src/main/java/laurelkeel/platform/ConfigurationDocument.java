package laurelkeel.platform;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonStreamContext;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The JSON of a configuration and its cached endpoint list, which is by far its largest part and therefore never held as JSON.
 *
 * @param root the other fields; null if the document is no JSON object
 * @param cachedEndpoints null if there is none or it is malformed
 */
record ConfigurationDocument(@Nullable JsonNode root, @Nullable DiscoveredEndpointList cachedEndpoints) {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationDocument.class);

    /**
     * Reads a document.
     *
     * @throws com.fasterxml.jackson.core.JsonProcessingException if it is not JSON
     * @throws IOException if it cannot be read
     */
    static ConfigurationDocument read(InputStream bytes) throws IOException {
        try (JsonParser parser = Json.MAPPER.createParser(bytes)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                return new ConfigurationDocument(null, null);
            }
            ObjectNode root = Json.MAPPER.createObjectNode();
            DiscoveredEndpointList cached = null;
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                JsonToken value = parser.nextToken();
                if (name.equals(NodeConfigurationParser.CACHED_ENDPOINTS) && value == JsonToken.START_OBJECT) {
                    cached = readEndpoints(parser);
                } else {
                    root.set(name, Json.MAPPER.readTree(parser));
                }
            }
            return new ConfigurationDocument(root, cached);
        }
    }

    /** Returns the document of JSON that has been read. */
    static ConfigurationDocument of(JsonNode json) {
        JsonNode list = json.path(NodeConfigurationParser.CACHED_ENDPOINTS);
        try (JsonParser parser = list.traverse()) {
            boolean isObject = parser.nextToken() == JsonToken.START_OBJECT;
            return new ConfigurationDocument(json, isObject ? readEndpoints(parser) : null);
        } catch (IOException e) {
            throw new IllegalStateException("reading from memory failed", e);
        }
    }

    /** Reads the list that begins with the current token, up to its end; a malformed list is ignored. */
    private static @Nullable DiscoveredEndpointList readEndpoints(JsonParser parser) throws IOException {
        JsonStreamContext outer = parser.getParsingContext().getParent();
        try {
            return DiscoveryProtocol.readMessage(parser).list();
        } catch (MalformedMessageException e) {
            LOG.warn("{}.{}; the endpoint list is ignored", NodeConfigurationParser.CACHED_ENDPOINTS, e.getMessage());
            while (!parser.getParsingContext().equals(outer) && parser.nextToken() != null) {
                // skips the rest of the list
            }
            return null;
        }
    }
}

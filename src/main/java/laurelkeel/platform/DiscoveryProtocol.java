package laurelkeel.platform;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import laurelkeel.api.Event.EndpointState;
import org.jspecify.annotations.Nullable;

/**
 * The HTTP and JSON protocol of discovery. Encodes the request for a watch and parses JSON into typed messages.
 *
 * <p>All names of the protocol are defined here. Unknown fields are ignored. Thread-safe.
 */
final class DiscoveryProtocol {
    static final String WATCH_TARGET = "/v1/servers?watch=1";
    static final String AFTER_PARAMETER = "&after=";

    static final String VERSION = "version";
    static final String COMPLETE = "full";
    static final String ENDPOINTS = "servers";

    static final String ID = "id";
    static final String ADDRESS = "addr";
    static final String ZONE = "zone";
    static final String KIND = "kind";
    static final String CELL = "cell";
    static final String STATE = "state";
    static final String WEIGHT = "weight";
    static final String STARTED_AT = "started_ms";
    static final String BUILD = "revision_no";

    private static final double DEFAULT_WEIGHT = 1;

    private static final Map<String, EndpointState> STATES = Map.of(
            "active", EndpointState.ACTIVE,
            "leaving", EndpointState.DRAINING,
            "left", EndpointState.REMOVED);

    private DiscoveryProtocol() {}

    /**
     * Returns the request for a watch; its response delivers every change of the endpoint list.
     *
     * @param afterVersion the known version; negative if there is none
     */
    static byte[] encodeWatchRequest(String host, long afterVersion) {
        String after = afterVersion < 0 ? "" : AFTER_PARAMETER + afterVersion;
        return ("GET " + WATCH_TARGET + after + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** Returns the state of this name; null if there is none. */
    static @Nullable EndpointState state(String name) {
        return STATES.get(name);
    }

    /** Reads the message whose first token is the current one of a parser. */
    static DiscoveryMessage readMessage(JsonParser parser) throws IOException, MalformedMessageException {
        DiscoveryMessageAssembler assembler = new DiscoveryMessageAssembler();
        DiscoveryMessage message = null;
        while (message == null && parser.currentToken() != null) {
            message = assembler.add(parser);
            if (message == null) {
                parser.nextToken();
            }
        }
        if (message == null) {
            throw new MalformedMessageException("JSON", "the list does not end");
        }
        return message;
    }

    /** Parses an entry of a list. */
    static DiscoveredEndpoint parseEndpoint(JsonNode entry) throws MalformedMessageException {
        String id = entry.path(ID).asText("");
        if (id.isEmpty()) {
            throw new MalformedMessageException(ID, "is missing in " + excerpt(entry));
        }
        EndpointState state = state(entry.path(STATE).asText(""));
        if (state == null) {
            throw new MalformedMessageException(STATE, "is missing or unknown in " + excerpt(entry));
        }
        String address = entry.path(ADDRESS).asText("");
        double weight = entry.path(WEIGHT).asDouble(DEFAULT_WEIGHT);
        return new DiscoveredEndpoint(
                id,
                address,
                Ipv4Addresses.parse(address),
                entry.path(ZONE).asText(""),
                entry.path(KIND).asText(""),
                entry.path(CELL).asInt(0),
                state,
                weight > 0 ? weight : DEFAULT_WEIGHT,
                entry.path(STARTED_AT).asLong(0),
                entry.path(BUILD).asInt(0));
    }

    private static String excerpt(JsonNode json) {
        return MalformedMessageException.excerpt(json.toString());
    }
}

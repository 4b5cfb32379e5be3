package laurelkeel.platform;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.util.TokenBuffer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Assembles messages of discovery from the tokens of JSON objects. Each entry is converted as soon as it is complete, and unknown
 * fields are dropped, so that the memory used hangs on what a list says and not on its layout: white space costs nothing.
 *
 * <p>Not thread-safe.
 */
final class DiscoveryMessageAssembler {
    /** Five times the endpoints of the largest fleet. */
    static final int MAX_ENDPOINTS = 16_000;

    /** Maximum text in the tokens of a list, in characters; the largest fleet's has 1.6 million. */
    static final int MAX_LIST_CHARS = 8 << 20;

    /** Maximum text in the tokens of an entry, in characters. */
    static final int MAX_ENTRY_CHARS = 32 << 10;

    private static final int ENTRY_DEPTH = 2;

    private @Nullable TokenBuffer entry;
    private int depth;
    private int listChars;
    private int entryChars;
    private String field = "";
    private boolean inEndpoints;
    private @Nullable JsonNode version;
    private boolean complete;
    private @Nullable List<DiscoveredEndpoint> endpoints;
    private @Nullable MalformedMessageException malformedEntry;

    /** Returns whether no part of a message has been added. */
    boolean isIdle() {
        return depth == 0;
    }

    /**
     * Adds the current token of a parser.
     *
     * @return the message that the token completes; null if it completes none
     * @throws MalformedMessageException if the tokens are no list or exceed a limit; the assembler cannot be used any further
     */
    @Nullable
    DiscoveryMessage add(JsonParser parser) throws IOException, MalformedMessageException {
        JsonToken token = parser.currentToken();
        if (depth == 0) {
            begin(token);
            return null;
        }
        countText(parser);
        if (token.isStructEnd()) {
            depth--;
        }
        if (entry != null) {
            addToEntry(entry, parser);
        } else if (depth == 0) {
            return finish();
        } else if (inEndpoints) {
            addToEndpoints(token, parser);
        } else if (depth == 1) {
            addToObject(token, parser);
        }
        if (token.isStructStart()) {
            depth++;
        }
        return null;
    }

    private void begin(JsonToken token) throws MalformedMessageException {
        if (token != JsonToken.START_OBJECT) {
            throw new MalformedMessageException("JSON", "expected an object instead of " + token);
        }
        depth = 1;
        listChars = 0;
        inEndpoints = false;
        version = null;
        complete = false;
        endpoints = null;
        malformedEntry = null;
    }

    private void countText(JsonParser parser) throws IOException, MalformedMessageException {
        int chars = parser.getTextLength();
        listChars += chars;
        entryChars += chars;
        if (listChars > MAX_LIST_CHARS) {
            throw new MalformedMessageException("JSON", "a list exceeds " + MAX_LIST_CHARS + " characters");
        }
    }

    private void addToObject(JsonToken token, JsonParser parser) throws IOException {
        if (token == JsonToken.FIELD_NAME) {
            field = parser.currentName();
        } else if (field.equals(DiscoveryProtocol.ENDPOINTS)) {
            inEndpoints = token == JsonToken.START_ARRAY;
            endpoints = inEndpoints ? new ArrayList<>() : null;
        } else if (field.equals(DiscoveryProtocol.VERSION)) {
            version = token.isScalarValue() ? scalar(parser) : null;
        } else if (field.equals(DiscoveryProtocol.COMPLETE)) {
            complete = token.isScalarValue() && scalar(parser).asBoolean(false);
        }
    }

    private static JsonNode scalar(JsonParser parser) throws IOException {
        try (TokenBuffer value = new TokenBuffer(Json.MAPPER, false)) {
            value.copyCurrentEvent(parser);
            return Json.MAPPER.readTree(value.asParser());
        }
    }

    private void addToEndpoints(JsonToken token, JsonParser parser) throws IOException, MalformedMessageException {
        if (depth == 1) {
            inEndpoints = false;
        } else if (depth == ENTRY_DEPTH && token == JsonToken.START_OBJECT) {
            entryChars = 0;
            entry = new TokenBuffer(Json.MAPPER, false);
            entry.copyCurrentEvent(parser);
        } else if (depth == ENTRY_DEPTH && !token.isStructEnd()) {
            addEndpoint(Json.MAPPER.nullNode());
        }
    }

    private void addToEntry(TokenBuffer tokens, JsonParser parser) throws IOException, MalformedMessageException {
        if (entryChars > MAX_ENTRY_CHARS) {
            throw new MalformedMessageException("JSON", "an entry exceeds " + MAX_ENTRY_CHARS + " characters");
        }
        tokens.copyCurrentEvent(parser);
        if (depth == ENTRY_DEPTH) {
            entry = null;
            addEndpoint(Json.MAPPER.readTree(tokens.asParser()));
        }
    }

    private void addEndpoint(JsonNode json) throws MalformedMessageException {
        List<DiscoveredEndpoint> listed = endpoints;
        if (listed == null || malformedEntry != null) {
            return;
        }
        if (listed.size() == MAX_ENDPOINTS) {
            throw new MalformedMessageException(
                    DiscoveryProtocol.ENDPOINTS, "has more than " + MAX_ENDPOINTS + " entries");
        }
        try {
            listed.add(DiscoveryProtocol.parseEndpoint(json));
        } catch (MalformedMessageException e) {
            malformedEntry = e;
        }
    }

    private DiscoveryMessage finish() throws MalformedMessageException {
        JsonNode number = version;
        List<DiscoveredEndpoint> listed = endpoints;
        if (number == null || !number.isIntegralNumber()) {
            throw new MalformedMessageException(DiscoveryProtocol.VERSION, "is not a whole number: " + number);
        }
        if (listed == null) {
            throw new MalformedMessageException(DiscoveryProtocol.ENDPOINTS, "is not an array");
        }
        endpoints = null;
        return new DiscoveryMessage(new DiscoveredListHeader(number.longValue(), complete), listed, malformedEntry);
    }
}

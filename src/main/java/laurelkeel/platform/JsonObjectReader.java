package laurelkeel.platform;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.util.TokenBuffer;
import java.io.IOException;

/** JSON objects off bytes that come in any pieces, however each is laid out over lines, and each to a bound. */
final class JsonObjectReader {

    interface Each {
        void value(JsonNode object) throws MalformedMessageException;
    }

    private final int most;
    private final JsonParser parser;
    private final ByteArrayFeeder feeder;
    private TokenBuffer tokens;
    private int depth, size;

    JsonObjectReader(int most) {
        this.most = most;
        try {
            parser = NodeConfiguration.JSON.getFactory().createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /** True where a value came whole, or a line that is blank. */
    boolean take(byte[] bytes, Each each) throws MalformedMessageException {
        boolean told = tokens == null && blankLine(bytes);
        size = tokens == null ? bytes.length : size + bytes.length;
        if (size > most) {
            throw new MalformedMessageException("a value of over " + most + " bytes");
        }
        try {
            feeder.feedInput(bytes, 0, bytes.length);
            for (JsonToken t = parser.nextToken(); t != JsonToken.NOT_AVAILABLE; t = parser.nextToken()) {
                if (tokens == null) {
                    if (t != JsonToken.START_OBJECT) {
                        throw new MalformedMessageException("no object: " + t);
                    }
                    tokens = new TokenBuffer(NodeConfiguration.JSON, false);
                }
                tokens.copyCurrentEvent(parser);
                depth += t.isStructStart() ? 1 : t.isStructEnd() ? -1 : 0;
                if (depth == 0) {
                    JsonNode whole = NodeConfiguration.JSON.readTree(tokens.asParser());
                    tokens = null;
                    told = true;
                    each.value(whole);
                }
            }
        } catch (IOException e) {
            throw new MalformedMessageException(
                    "no JSON: " + e.getMessage().lines().findFirst().orElse(""));
        }
        return told;
    }

    private static boolean blankLine(byte[] bytes) {
        for (byte b : bytes) {
            if (b == '\n') {
                return true;
            }
            if (b != '\r' && b != ' ' && b != '\t') {
                return false;
            }
        }
        return false;
    }
}

package laurelkeel.platform;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.util.TokenBuffer;
import java.io.IOException;
import org.jspecify.annotations.Nullable;

/**
 * Parses a sequence of JSON objects of bounded size from bytes that arrive in arbitrary pieces.
 *
 * <p>An object may span any number of lines. Not thread-safe.
 */
final class JsonObjectReader {
    private final int maxObjectBytes;
    private final JsonParser parser;
    private final ByteArrayFeeder feeder;
    /** Tokens of the incomplete object; null between objects. */
    private @Nullable TokenBuffer tokens;

    private int depth;
    private int objectBytes;

    /** Receives each complete object. */
    @FunctionalInterface
    interface ObjectConsumer {
        void accept(JsonNode object) throws UnusableMessageException;
    }

    JsonObjectReader(int maxObjectBytes) {
        this.maxObjectBytes = maxObjectBytes;
        try {
            parser = Json.MAPPER.getFactory().createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException("creating a parser without an input source failed", e);
        }
        feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /**
     * Reads bytes and passes each object that they complete to the consumer.
     *
     * @return whether an object was completed, or the bytes begin with a blank line between objects
     * @throws MalformedMessageException if the bytes are not JSON objects or an object is too large; the reader cannot
     *     be used any further
     * @throws UnusableMessageException if the consumer throws it
     */
    boolean read(byte[] bytes, ObjectConsumer consumer) throws UnusableMessageException {
        boolean received = tokens == null && startsWithBlankLine(bytes);
        objectBytes = tokens == null ? bytes.length : objectBytes + bytes.length;
        if (objectBytes > maxObjectBytes) {
            throw new MalformedMessageException("JSON", "an object exceeds " + maxObjectBytes + " bytes");
        }
        try {
            feeder.feedInput(bytes, 0, bytes.length);
            JsonToken token = parser.nextToken();
            while (token != JsonToken.NOT_AVAILABLE) {
                JsonNode object = addToken(token);
                if (object != null) {
                    received = true;
                    consumer.accept(object);
                }
                token = parser.nextToken();
            }
        } catch (IOException e) {
            String firstLine =
                    String.valueOf(e.getMessage()).lines().findFirst().orElse("");
            throw new MalformedMessageException("JSON", firstLine);
        }
        return received;
    }

    /** Adds a token to the incomplete object, and returns the object if that completes it, otherwise null. */
    private @Nullable JsonNode addToken(JsonToken token) throws IOException, MalformedMessageException {
        TokenBuffer buffer = tokens;
        if (buffer == null) {
            if (token != JsonToken.START_OBJECT) {
                throw new MalformedMessageException("JSON", "expected an object instead of " + token);
            }
            buffer = new TokenBuffer(Json.MAPPER, false);
            tokens = buffer;
        }
        buffer.copyCurrentEvent(parser);
        if (token.isStructStart()) {
            depth++;
        } else if (token.isStructEnd()) {
            depth--;
        }
        if (depth > 0) {
            return null;
        }
        tokens = null;
        return Json.MAPPER.readTree(buffer.asParser());
    }

    private static boolean startsWithBlankLine(byte[] bytes) {
        for (byte each : bytes) {
            if (each == '\n') {
                return true;
            }
            if (each != '\r' && each != ' ' && each != '\t') {
                return false;
            }
        }
        return false;
    }
}

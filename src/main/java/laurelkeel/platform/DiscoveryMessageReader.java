package laurelkeel.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import java.io.IOException;

/**
 * Parses a sequence of discovery's messages, JSON objects, from bytes that arrive in arbitrary pieces.
 *
 * <p>An object may span any number of lines. Not thread-safe.
 */
final class DiscoveryMessageReader {
    private static final int MAX_NESTING = 64;
    private static final JsonFactory JSON = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxStringLength(DiscoveryMessageAssembler.MAX_ENTRY_CHARS)
                    .maxNameLength(DiscoveryMessageAssembler.MAX_ENTRY_CHARS)
                    .maxNestingDepth(MAX_NESTING)
                    .build())
            // names are the peer's choice, and the table of interned names would outlive the connection
            .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
            .build();

    private final DiscoveryMessageAssembler assembler = new DiscoveryMessageAssembler();
    private final JsonParser parser;
    private final ByteArrayFeeder feeder;

    /** Receives each complete message. */
    @FunctionalInterface
    interface MessageConsumer {
        void accept(DiscoveryMessage message) throws UnusableMessageException;
    }

    DiscoveryMessageReader() {
        try {
            parser = JSON.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException("creating a parser without an input source failed", e);
        }
        feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /**
     * Reads bytes and passes each message that they complete to the consumer.
     *
     * @return whether a message was completed, or the bytes begin with a blank line between messages
     * @throws MalformedMessageException if the bytes are not lists or a list is too large; the reader cannot be used any
     *     further
     * @throws UnusableMessageException if the consumer throws it
     */
    boolean read(byte[] bytes, MessageConsumer consumer) throws UnusableMessageException {
        boolean received = assembler.isIdle() && startsWithBlankLine(bytes);
        try {
            feeder.feedInput(bytes, 0, bytes.length);
            while (parser.nextToken() != JsonToken.NOT_AVAILABLE) {
                DiscoveryMessage message = assembler.add(parser);
                if (message != null) {
                    received = true;
                    consumer.accept(message);
                }
            }
        } catch (IOException e) {
            String firstLine =
                    String.valueOf(e.getMessage()).lines().findFirst().orElse("");
            throw new MalformedMessageException("JSON", firstLine);
        }
        return received;
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

package laurelkeel.platform;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import laurelkeel.wire.HttpLimits;
import laurelkeel.wire.HttpParser;
import laurelkeel.wire.HttpProtocolException;

/**
 * Reads the answer to a watch on discovery: a chunked HTTP response that stays open and carries JSON objects.
 *
 * <p>Not thread-safe; one for each connection.
 */
final class DiscoveryWatchReader implements StreamReader {
    /** Some 200 bytes an endpoint, twice that where the list is indented, for thousands of endpoints. */
    private static final int MAX_LIST_BYTES = 1 << 20;

    private static final int MAX_LINE_BYTES = 1 << 10;
    private static final int MAX_HEADER_BYTES = 8 << 10;
    private static final int MAX_HEADERS = 64;
    private static final HttpLimits LIMITS =
            new HttpLimits(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_HEADERS, MAX_LIST_BYTES);
    private static final int STATUS_OK = 200;

    private final JsonObjectReader.ObjectConsumer consumer;
    private final List<byte[]> bodyParts = new ArrayList<>();
    private final HttpParser parser = HttpParser.streamed(LIMITS, bodyParts::add);
    private final JsonObjectReader objects = new JsonObjectReader(MAX_LIST_BYTES);

    /** @param consumer receives each JSON object of the response */
    DiscoveryWatchReader(JsonObjectReader.ObjectConsumer consumer) {
        this.consumer = consumer;
    }

    @Override
    public boolean read(byte[] bytes, long arrivedAtTicks) throws UnusableMessageException {
        ByteBuffer remaining = ByteBuffer.wrap(bytes);
        boolean received = false;
        while (remaining.hasRemaining()) {
            boolean ended = parse(remaining);
            for (byte[] part : bodyParts) {
                received |= objects.read(part, consumer);
            }
            bodyParts.clear();
            if (ended) {
                throw new MalformedMessageException("response", "the watch ended");
            }
        }
        return received;
    }

    /** Parses until the response has ended or the bytes are used up, and returns whether it has ended. */
    private boolean parse(ByteBuffer bytes) throws MalformedMessageException {
        try {
            boolean ended = parser.read(bytes) != null;
            if ((ended || parser.inBody()) && parser.status() != STATUS_OK) {
                throw new MalformedMessageException("response", "its status is " + parser.status());
            }
            return ended;
        } catch (HttpProtocolException e) {
            throw new MalformedMessageException("response", String.valueOf(e.getMessage()));
        }
    }
}

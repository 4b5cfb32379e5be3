package laurelkeel.platform;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import laurelkeel.wire.HttpLimits;
import laurelkeel.wire.HttpParser;
import laurelkeel.wire.HttpProtocolException;

/**
 * Reads the response to a watch on discovery, an open-ended chunked HTTP response that contains JSON objects.
 *
 * <p>Not thread-safe; each connection needs a new reader.
 */
final class DiscoveryWatchReader implements StreamReader {
    /** Enough for thousands of endpoints: an entry has about 200 bytes, or twice that if the JSON is indented. */
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

    /** Parses until the response ends or all bytes are consumed, and returns whether the response has ended. */
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

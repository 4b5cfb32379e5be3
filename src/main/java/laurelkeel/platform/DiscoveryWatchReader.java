package laurelkeel.platform;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import laurelkeel.wire.HttpLimits;
import laurelkeel.wire.HttpParser;
import laurelkeel.wire.HttpProtocolException;

/**
 * Reads the response to a watch on discovery, an open-ended chunked HTTP response that contains messages.
 *
 * <p>Not thread-safe; each connection needs a new reader.
 */
final class DiscoveryWatchReader implements StreamReader {
    /** Chunks are passed on as they arrive; {@link DiscoveryMessageAssembler} limits what a list may hold. */
    private static final int MAX_CHUNK_BYTES = Integer.MAX_VALUE;

    private static final int MAX_LINE_BYTES = 1 << 10;
    private static final int MAX_HEADER_BYTES = 8 << 10;
    private static final int MAX_HEADERS = 64;
    private static final HttpLimits LIMITS =
            new HttpLimits(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_HEADERS, MAX_CHUNK_BYTES);
    private static final int STATUS_OK = 200;

    /** Receives what a watch delivers. */
    interface Listener {
        /** Called for each message. */
        void onMessage(DiscoveryMessage message) throws UnusableMessageException;

        /** Called if the watch delivers something that is no list or exceeds the limits of one. */
        void onUnreadableMessage(MalformedMessageException error);
    }

    private final Listener listener;
    private final List<byte[]> bodyParts = new ArrayList<>();
    private final HttpParser parser = HttpParser.streamed(LIMITS, bodyParts::add);
    private final DiscoveryMessageReader messages = new DiscoveryMessageReader();

    DiscoveryWatchReader(Listener listener) {
        this.listener = listener;
    }

    @Override
    public boolean read(byte[] bytes, long arrivedAtTicks) throws UnusableMessageException {
        ByteBuffer remaining = ByteBuffer.wrap(bytes);
        boolean received = false;
        while (remaining.hasRemaining()) {
            boolean ended = parse(remaining);
            for (byte[] part : bodyParts) {
                received |= readMessages(part);
            }
            bodyParts.clear();
            if (ended) {
                throw new MalformedMessageException("response", "the watch ended");
            }
        }
        return received;
    }

    private boolean readMessages(byte[] part) throws UnusableMessageException {
        try {
            return messages.read(part, listener::onMessage);
        } catch (MalformedMessageException e) {
            listener.onUnreadableMessage(e);
            throw e;
        }
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

package laurelkeel.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import laurelkeel.api.Event;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.FrontNode;
import laurelkeel.wire.HttpLimits;
import laurelkeel.wire.HttpParser;
import laurelkeel.wire.HttpProtocolException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Discovery's watch: a chunked answer that stays open, an object for each change of the list. Loop only. */
final class DiscoveryClient {
    /**
     * An empty line comes every two seconds, and what a silent watch misses counts as told six after it fell silent: a
     * second one that is silent too must leave time for a third.
     */
    private static final long SILENCE = 30_000;
    /** Some 200 bytes a machine, twice that where they come indented, for thousands of machines. */
    private static final int LARGEST = 1 << 20;

    private static final HttpLimits LIMITS = new HttpLimits(1 << 10, 8 << 10, 64, LARGEST);

    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryClient.class);

    private final EventLoop loop;
    private final EndpointDirectory machines;
    private final Consumer<Event> to;
    private final StreamConnection feed;
    private boolean heard;

    /** One connection's answer. */
    private final class Reading implements StreamConnection.Ear {
        private final List<byte[]> parts = new ArrayList<>();
        private final HttpParser parser = HttpParser.streamed(LIMITS, parts::add);
        private final JsonObjectReader values = new JsonObjectReader(LARGEST);

        @Override
        public boolean take(byte[] bytes, long arrived) throws MalformedMessageException {
            boolean told = false;
            try {
                ByteBuffer in = ByteBuffer.wrap(bytes);
                while (in.hasRemaining()) {
                    boolean whole = parser.read(in) != null;
                    if ((whole || parser.inBody()) && parser.status() != 200) {
                        throw new MalformedMessageException("status " + parser.status());
                    }
                    for (byte[] part : parts) {
                        told |= values.take(part, DiscoveryClient.this::told);
                    }
                    parts.clear();
                    if (whole) {
                        throw new MalformedMessageException("the watch ended");
                    }
                }
            } catch (HttpProtocolException e) {
                throw new MalformedMessageException(e.getMessage());
            }
            return told;
        }
    }

    DiscoveryClient(
            ServiceConnections links,
            EventLoop loop,
            long seed,
            EndpointDirectory machines,
            InetSocketAddress at,
            Consumer<Event> to) {
        this.loop = loop;
        this.machines = machines;
        this.to = to;
        String host = at.getHostString();
        feed = new StreamConnection(
                "discovery",
                links,
                loop,
                seed,
                at,
                SILENCE,
                () -> {
                    String after = machines.version() < 0 ? "" : "&after=" + machines.version();
                    return ("GET /v1/servers?watch=1" + after + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII);
                },
                Reading::new);
    }

    private void told(JsonNode value) throws MalformedMessageException {
        Event.EndpointListUpdate list = machines.told(value, loop.nowTicks());
        heard = true;
        if (FrontNode.TRACE) {
            String text = value.toString();
            LOG.info("trace list {}", text.length() > 2_000 ? text.substring(0, 2_000) : text);
        }
        if (list != null) {
            to.accept(list);
        }
    }

    /** True once it has told a list or what has changed of it. */
    boolean heard() {
        return heard;
    }

    void start() {
        feed.start();
    }

    void move(InetSocketAddress at) {
        feed.move(at);
    }

    void close() {
        feed.close();
    }
}

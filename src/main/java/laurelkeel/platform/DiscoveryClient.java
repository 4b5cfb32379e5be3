package laurelkeel.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import laurelkeel.api.Event;
import laurelkeel.api.Ticks;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.FrontNode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Follows discovery's watch, applies each list to the directory and hands it on as an event. */
final class DiscoveryClient implements ServiceClient {
    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryClient.class);
    /**
     * An empty line comes every 2 s, and what a silent watch misses counts as known after 6 s: a second watch that is
     * silent too must leave time for a third.
     */
    private static final long SILENCE_TIMEOUT_TICKS = 3 * Ticks.PER_SECOND;

    private static final int MAX_TRACE_CHARS = 2_000;

    private final EventLoop loop;
    private final EndpointDirectory directory;
    private final Consumer<Event> events;
    private final String host;
    private final ReconnectingStream stream;
    private boolean reported;

    /**
     * Creates one that is complete, and silent until it starts.
     *
     * @param seed for the random part of its backoff
     * @param address of discovery, until it moves
     * @param events receives what has changed
     */
    DiscoveryClient(
            ServiceConnector connector,
            EventLoop loop,
            long seed,
            EndpointDirectory directory,
            InetSocketAddress address,
            Consumer<Event> events) {
        this.loop = loop;
        this.directory = directory;
        this.events = events;
        host = address.getHostString();
        stream = new ReconnectingStream(new WatchProtocol(), connector, loop, seed, address);
    }

    @Override
    public void start() {
        stream.start();
    }

    @Override
    public void moveTo(InetSocketAddress address) {
        stream.moveTo(address);
    }

    @Override
    public void close() {
        stream.close();
    }

    /** Whether it has sent a list or what has changed of it. */
    @Override
    public boolean hasReported() {
        return reported;
    }

    private void onList(JsonNode json) throws UnusableMessageException {
        DiscoveredListHeader header = DiscoveryProtocol.parseHeader(json);
        Event.EndpointListUpdate update = null;
        if (directory.acceptVersion(header, loop.nowTicks())) {
            update = directory.applyUpdate(DiscoveryProtocol.parseEndpoints(json, header), loop.nowTicks());
        }
        reported = true;
        if (FrontNode.TRACE) {
            String text = json.toString();
            LOG.info("trace list {}", text.length() > MAX_TRACE_CHARS ? text.substring(0, MAX_TRACE_CHARS) : text);
        }
        if (update != null) {
            events.accept(update);
        }
    }

    /** A watch from the version that the directory has. */
    private final class WatchProtocol implements StreamProtocol {
        @Override
        public String serviceName() {
            return "discovery";
        }

        @Override
        public byte[] openingRequest() {
            return DiscoveryProtocol.encodeWatchRequest(host, directory.version());
        }

        @Override
        public StreamReader newReader() {
            return new DiscoveryWatchReader(DiscoveryClient.this::onList);
        }

        @Override
        public long silenceTimeoutTicks() {
            return SILENCE_TIMEOUT_TICKS;
        }
    }
}

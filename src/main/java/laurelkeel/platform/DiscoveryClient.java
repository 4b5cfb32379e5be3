package laurelkeel.platform;

import java.net.InetSocketAddress;
import java.util.function.Consumer;
import laurelkeel.api.Event;
import laurelkeel.api.Ticks;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.FrontNode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Watches discovery, applies each endpoint list to the directory and emits the resulting event. */
final class DiscoveryClient implements ServiceClient, DiscoveryWatchReader.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryClient.class);
    /**
     * Discovery sends an empty line every 2 s, and the platform treats a change as known to this node after 6 s, even
     * if the watch was silent. The timeout leaves time for a third watch within that limit if the second one is silent
     * too.
     */
    private static final long SILENCE_TIMEOUT_TICKS = 3 * Ticks.PER_SECOND;

    private static final int MAX_TRACE_CHARS = 2_000;

    private final EventLoop loop;
    private final EndpointDirectory directory;
    private final Consumer<Event> events;
    private final String host;
    private final ReconnectingStream stream;
    private boolean reported;
    private boolean lastMessageUnreadable;
    private int unreadableMessages;

    /**
     * Creates a client that opens no connection until it is started.
     *
     * @param seed seeds the random part of the reconnect backoff
     * @param address initial address of discovery
     * @param events receives an event for each list that contains something new
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

    /** Returns whether discovery has sent a complete list or a change of it. */
    @Override
    public boolean hasReported() {
        return reported;
    }

    /** Returns whether discovery's last message could not be read, so that this node lacks what discovery has told it. */
    boolean isLastMessageUnreadable() {
        return lastMessageUnreadable;
    }

    @Override
    public void onUnreadableMessage(MalformedMessageException error) {
        lastMessageUnreadable = true;
        unreadableMessages++;
        LOG.error(
                "the endpoint list of version {} stays in force, since discovery's message cannot be read ({} such messages): {}",
                directory.version(),
                unreadableMessages,
                error.getMessage());
    }

    @Override
    public void onMessage(DiscoveryMessage message) throws UnusableMessageException {
        Event.EndpointListUpdate update = null;
        if (directory.acceptVersion(message.header(), loop.nowTicks())) {
            update = directory.applyUpdate(message.list(), loop.nowTicks());
        }
        reported = true;
        lastMessageUnreadable = false;
        if (FrontNode.TRACE) {
            String text = message.toString();
            LOG.info("trace list {}", text.length() > MAX_TRACE_CHARS ? text.substring(0, MAX_TRACE_CHARS) : text);
        }
        if (update != null) {
            events.accept(update);
        }
    }

    /** The protocol of a watch that starts after the version in the directory. */
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
            return new DiscoveryWatchReader(DiscoveryClient.this);
        }

        @Override
        public boolean resendsMessages() {
            return true;
        }

        @Override
        public long silenceTimeoutTicks() {
            return SILENCE_TIMEOUT_TICKS;
        }
    }
}

package laurelkeel.platform;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import laurelkeel.api.Action.CastVote;
import laurelkeel.api.Event;
import laurelkeel.api.Ticks;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.platform.ControlServiceMessage.Complaint;
import laurelkeel.platform.ControlServiceMessage.Metrics;
import laurelkeel.platform.ControlServiceMessage.Notification;
import laurelkeel.platform.ControlServiceMessage.Progress;
import laurelkeel.wire.BoundedLineReader;
import laurelkeel.wire.LineTooLongException;

/** Converts the control service's notifications to events, and sends votes on a separate connection. */
final class ControlServiceClient implements ServiceClient {
    /** The control service sends a heartbeat every second. */
    private static final long SILENCE_TIMEOUT_TICKS = 3_500 * Ticks.PER_MILLISECOND;

    private final EventLoop loop;
    private final ToIntFunction<String> routeIndex;
    private final Consumer<Event> events;
    private final ReconnectingStream stream;
    private final VoteChannel votes;
    private boolean reported;

    /**
     * Creates a client that opens no connection until it is started or sends a vote.
     *
     * @param seed seeds the random part of the reconnect backoff
     * @param voteTimeoutTicks the longest wait for the reply to a vote
     * @param routeIndex maps a route's name to its index; negative if there is none
     * @param address initial address of the control service
     * @param events receives notifications and the replies to votes
     */
    ControlServiceClient(
            ServiceConnector connector,
            EventLoop loop,
            long seed,
            long voteTimeoutTicks,
            ToIntFunction<String> routeIndex,
            InetSocketAddress address,
            Consumer<Event> events) {
        this.loop = loop;
        this.routeIndex = routeIndex;
        this.events = events;
        votes = new VoteChannel(connector, loop, voteTimeoutTicks, address, events::accept);
        stream = new ReconnectingStream(new SubscriptionProtocol(), connector, loop, seed, address);
    }

    @Override
    public void start() {
        stream.start();
    }

    @Override
    public void moveTo(InetSocketAddress address) {
        stream.moveTo(address);
        votes.moveTo(address);
    }

    @Override
    public void close() {
        stream.close();
        votes.close();
    }

    /**
     * Returns whether the control service has accepted the subscription, sent a heartbeat or reported the newest
     * build's state.
     */
    @Override
    public boolean hasReported() {
        return reported;
    }

    /** Sends a vote, which is possible before {@link #start} too; exactly one event follows as its reply. */
    void vote(CastVote vote) {
        votes.send(vote);
    }

    private void onNotification(Notification notification, long arrivedAtTicks) throws MalformedMessageException {
        // measured from the arrival of the bytes, since the event loop may have handled them later
        long elapsedTicks = Math.max(0, loop.nowTicks() - arrivedAtTicks);
        if (notification instanceof Metrics metrics) {
            events.accept(toBuildStatistics(metrics, elapsedTicks));
        } else if (notification instanceof Progress progress) {
            reported = true;
            events.accept(progress.state().toUpdate(elapsedTicks, false));
        } else if (!(notification instanceof Complaint)) {
            reported = true;
        }
    }

    private Event.BuildStatistics toBuildStatistics(Metrics metrics, long elapsedTicks)
            throws MalformedMessageException {
        int route = routeIndex.applyAsInt(metrics.route());
        if (route < 0) {
            throw new MalformedMessageException(
                    ControlServiceProtocol.ROUTE,
                    MalformedMessageException.excerpt(metrics.route()) + " is not in the settings");
        }
        return new Event.BuildStatistics(
                metrics.build(),
                route,
                metrics.attempts(),
                metrics.failures(),
                metrics.meanDurationTicks(),
                metrics.ageTicks() + elapsedTicks);
    }

    /** The protocol of a subscription to all notifications. */
    private final class SubscriptionProtocol implements StreamProtocol {
        @Override
        public String serviceName() {
            return "control service";
        }

        @Override
        public byte[] openingRequest() {
            return ControlServiceProtocol.encodeSubscribe();
        }

        @Override
        public StreamReader newReader() {
            return new NotificationReader();
        }

        @Override
        public long silenceTimeoutTicks() {
            return SILENCE_TIMEOUT_TICKS;
        }
    }

    /** Parses the notifications that arrive on one connection. */
    private final class NotificationReader implements StreamReader {
        private final BoundedLineReader lines = new BoundedLineReader(ControlServiceProtocol.MAX_LINE_BYTES);
        private boolean received;

        @Override
        public boolean read(byte[] bytes, long arrivedAtTicks) throws UnusableMessageException {
            received = false;
            try {
                lines.<MalformedMessageException>read(ByteBuffer.wrap(bytes), line -> {
                    onNotification(ControlServiceProtocol.parseNotification(line), arrivedAtTicks);
                    received = true;
                });
            } catch (LineTooLongException e) {
                throw new MalformedMessageException("notification", String.valueOf(e.getMessage()));
            }
            return received;
        }
    }
}

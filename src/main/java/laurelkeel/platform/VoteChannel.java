package laurelkeel.platform;

import java.net.InetSocketAddress;
import java.util.function.Consumer;
import laurelkeel.api.Action.CastVote;
import laurelkeel.api.Event;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.eventloop.EventLoop;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends votes to the control service one at a time; exactly one event follows as the reply to each.
 *
 * <p>A reply does not identify its vote, so a connection whose vote was abandoned is never reused. Not thread-safe;
 * called on the event loop's thread.
 */
final class VoteChannel {
    private static final Logger LOG = LoggerFactory.getLogger(VoteChannel.class);

    private final ServiceConnector connector;
    private final EventLoop loop;
    private final long replyTimeoutTicks;
    private final Consumer<Event.RolloutUpdate> replies;
    private InetSocketAddress address;
    private @Nullable VoteConnection connection;

    /**
     * Creates a channel that connects when the first vote is sent.
     *
     * @param replyTimeoutTicks the longest wait for a reply
     * @param address initial address of the control service
     * @param replies receives one event for each vote, which is never delivered from within {@link #send} of that vote
     */
    VoteChannel(
            ServiceConnector connector,
            EventLoop loop,
            long replyTimeoutTicks,
            InetSocketAddress address,
            Consumer<Event.RolloutUpdate> replies) {
        this.connector = connector;
        this.loop = loop;
        this.replyTimeoutTicks = replyTimeoutTicks;
        this.address = address;
        this.replies = replies;
    }

    /** Sends a vote; a vote that is still in flight is abandoned. */
    void send(CastVote vote) {
        LOG.info("sending vote {} on build {} stage {}", vote.verdict(), vote.build(), vote.stage());
        VoteConnection reusable = reusableConnection();
        if (reusable != null) {
            reusable.send(vote);
        } else {
            connection = new VoteConnection(connector, loop, replyTimeoutTicks, address, replies, vote);
        }
    }

    private @Nullable VoteConnection reusableConnection() {
        VoteConnection existing = connection;
        if (existing == null || existing.hasEnded()) {
            return null;
        }
        if (existing.hasVoteInFlight()) {
            // the reply may still arrive on this connection and must not be attributed to the next vote
            existing.end(ControlStatus.TIMED_OUT);
            return null;
        }
        if (!existing.isReusableFor(address)) {
            existing.end(ControlStatus.FAILED);
            return null;
        }
        return existing;
    }

    /**
     * Moves to another address of the control service; the reply to a vote in flight is still read from the old one.
     */
    void moveTo(InetSocketAddress newAddress) {
        address = newAddress;
        VoteConnection existing = connection;
        if (existing != null && !existing.hasEnded() && !existing.hasVoteInFlight()) {
            existing.end(ControlStatus.FAILED);
        }
    }

    /** Closes the connection; a vote in flight fails. */
    void close() {
        VoteConnection existing = connection;
        if (existing != null && !existing.hasEnded()) {
            existing.end(ControlStatus.FAILED);
        }
    }
}

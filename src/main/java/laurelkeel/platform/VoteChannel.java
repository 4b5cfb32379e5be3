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
 * Sends votes to the control service, one at a time, each answered by exactly one event.
 *
 * <p>A reply carries no name of its vote, so a connection whose vote was given up is never used again. Not thread-safe;
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
     * Creates one that connects with its first vote.
     *
     * @param replyTimeoutTicks the longest wait for a reply
     * @param address of the control service, until it moves
     * @param replies receives one event for each vote, never from within {@link #send} for the vote that it sends
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

    /** Sends a vote; one that still waits for its reply is given up. */
    void send(CastVote vote) {
        LOG.info("votes {} on build {} stage {}", vote.verdict(), vote.build(), vote.stage());
        VoteConnection reusable = reusableConnection();
        if (reusable != null) {
            reusable.send(vote);
        } else {
            connection = new VoteConnection(connector, loop, replyTimeoutTicks, address, replies, vote);
        }
    }

    private @Nullable VoteConnection reusableConnection() {
        VoteConnection present = connection;
        if (present == null || present.hasEnded()) {
            return null;
        }
        if (present.hasVoteInFlight()) {
            // its reply may still arrive there, and must not be taken for the next one's
            present.end(ControlStatus.TIMED_OUT);
            return null;
        }
        if (!present.isReusableFor(address)) {
            present.end(ControlStatus.FAILED);
            return null;
        }
        return present;
    }

    /** Follows the control service to another address; a vote in flight still gets its reply from the old one. */
    void moveTo(InetSocketAddress newAddress) {
        address = newAddress;
        VoteConnection present = connection;
        if (present != null && !present.hasEnded() && !present.hasVoteInFlight()) {
            present.end(ControlStatus.FAILED);
        }
    }

    /** Closes its connection; a vote in flight has failed. */
    void close() {
        VoteConnection present = connection;
        if (present != null && !present.hasEnded()) {
            present.end(ControlStatus.FAILED);
        }
    }
}

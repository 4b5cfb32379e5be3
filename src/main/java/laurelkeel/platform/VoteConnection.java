package laurelkeel.platform;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import laurelkeel.api.Action.CastVote;
import laurelkeel.api.Event;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.Ticks;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.platform.ControlServiceMessage.VoteAccepted;
import laurelkeel.platform.ControlServiceMessage.VoteRejected;
import laurelkeel.platform.ControlServiceMessage.VoteReply;
import laurelkeel.wire.BoundedLineReader;
import laurelkeel.wire.LineTooLongException;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One connection to the control service for votes, with at most one vote in flight.
 *
 * <p>Not thread-safe; called on the event loop's thread.
 */
final class VoteConnection implements ConnectionListener {
    private static final Logger LOG = LoggerFactory.getLogger(VoteConnection.class);
    /**
     * The control service closes idle connections after about 10 s; a vote must not be sent at the time of such a
     * close.
     */
    private static final long MAX_IDLE_TICKS = 4 * Ticks.PER_SECOND;

    private final EventLoop loop;
    private final long replyTimeoutTicks;
    private final InetSocketAddress address;
    private final Consumer<Event.RolloutUpdate> replies;
    private final BoundedLineReader lines = new BoundedLineReader(ControlServiceProtocol.MAX_LINE_BYTES);
    private final ServiceConnection connection;
    private @Nullable CastVote voteInFlight;
    private EventLoop.ScheduledTask replyTimeout;
    private long idleSinceTicks;
    private boolean ended;

    /** Opens the connection and sends the first vote; the parameters are those of {@link VoteChannel}. */
    VoteConnection(
            ServiceConnector connector,
            EventLoop loop,
            long replyTimeoutTicks,
            InetSocketAddress address,
            Consumer<Event.RolloutUpdate> replies,
            CastVote firstVote) {
        this.loop = loop;
        this.replyTimeoutTicks = replyTimeoutTicks;
        this.address = address;
        this.replies = replies;
        voteInFlight = firstVote;
        connection = connector.open(address, replyTimeoutTicks, ControlServiceProtocol.encodeVote(firstVote), this);
        replyTimeout = scheduleReplyTimeout();
    }

    private EventLoop.ScheduledTask scheduleReplyTimeout() {
        return loop.schedule(loop.nowTicks() + replyTimeoutTicks, () -> end(ControlStatus.TIMED_OUT));
    }

    boolean hasVoteInFlight() {
        return voteInFlight != null;
    }

    boolean hasEnded() {
        return ended;
    }

    /**
     * Returns whether the next vote may be sent on this connection, given the current address of the control service.
     */
    boolean isReusableFor(InetSocketAddress serviceAddress) {
        return connection.isOpen()
                && address.equals(serviceAddress)
                && loop.nowTicks() <= idleSinceTicks + MAX_IDLE_TICKS;
    }

    /** Sends a vote; none may be in flight. */
    void send(CastVote vote) {
        voteInFlight = vote;
        connection.write(ControlServiceProtocol.encodeVote(vote));
        replyTimeout = scheduleReplyTimeout();
    }

    @Override
    public void onBytes(byte[] bytes, long arrivedAtTicks) {
        try {
            lines.<MalformedMessageException>read(ByteBuffer.wrap(bytes), line -> onLine(line, arrivedAtTicks));
        } catch (LineTooLongException | MalformedMessageException e) {
            LOG.warn("control service: cannot parse the reply to a vote: {}", e.getMessage());
            end(ControlStatus.TIMED_OUT);
        }
    }

    private void onLine(String line, long arrivedAtTicks) throws MalformedMessageException {
        if (ControlServiceProtocol.isNotification(line)) {
            return;
        }
        if (voteInFlight == null) {
            throw new MalformedMessageException(
                    "reply", MalformedMessageException.excerpt(line) + " was received without a vote in flight");
        }
        VoteReply reply = ControlServiceProtocol.parseVoteReply(line);
        voteInFlight = null;
        replyTimeout.cancel();
        idleSinceTicks = loop.nowTicks();
        Event.RolloutUpdate update = toUpdate(reply, Math.max(0, loop.nowTicks() - arrivedAtTicks));
        LOG.info(
                "received reply {} to a vote: build {} stage {} {}",
                update.status(),
                update.build(),
                update.stage(),
                update.phase());
        replies.accept(update);
    }

    private static Event.RolloutUpdate toUpdate(VoteReply reply, long elapsedTicks) {
        if (reply instanceof VoteAccepted accepted) {
            return accepted.state().toUpdate(elapsedTicks, true);
        }
        return updateWithoutState(((VoteRejected) reply).status());
    }

    private static Event.RolloutUpdate updateWithoutState(ControlStatus status) {
        return new Event.RolloutUpdate(status, 0, 0, 0, RolloutPhase.CANARY, 0, true);
    }

    @Override
    public void onClosed(boolean written) {
        end(written ? ControlStatus.TIMED_OUT : ControlStatus.FAILED);
    }

    /**
     * Closes the connection permanently.
     *
     * @param status status of the event for a vote in flight
     */
    void end(ControlStatus status) {
        ended = true;
        connection.close();
        replyTimeout.cancel();
        CastVote unanswered = voteInFlight;
        if (unanswered != null) {
            LOG.info("no reply to the vote on build {} stage {}: {}", unanswered.build(), unanswered.stage(), status);
            voteInFlight = null;
            replies.accept(updateWithoutState(status));
        }
    }
}

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
 * One connection to the control service that carries votes, at most one of them in flight.
 *
 * <p>Not thread-safe; called on the event loop's thread.
 */
final class VoteConnection implements ConnectionListener {
    private static final Logger LOG = LoggerFactory.getLogger(VoteConnection.class);
    /** The control service closes a connection after some 10 s of idleness; a vote must not cross that. */
    private static final long MAX_IDLE_TICKS = 4 * Ticks.PER_SECOND;

    private final EventLoop loop;
    private final long replyTimeoutTicks;
    private final InetSocketAddress address;
    private final Consumer<Event.RolloutUpdate> replies;
    private final BoundedLineReader lines = new BoundedLineReader(ControlServiceProtocol.MAX_LINE_BYTES);
    private final ServiceConnection connection;
    private @Nullable CastVote inFlight;
    private EventLoop.ScheduledTask replyTimeout;
    private long idleSinceTicks;
    private boolean ended;

    /** Opens the connection and sends its first vote; parameters as of {@link VoteChannel}. */
    VoteConnection(
            ServiceConnector connector,
            EventLoop loop,
            long replyTimeoutTicks,
            InetSocketAddress address,
            Consumer<Event.RolloutUpdate> replies,
            CastVote first) {
        this.loop = loop;
        this.replyTimeoutTicks = replyTimeoutTicks;
        this.address = address;
        this.replies = replies;
        inFlight = first;
        connection = connector.open(address, ControlServiceProtocol.encodeVote(first), this);
        replyTimeout = scheduleReplyTimeout();
    }

    private EventLoop.ScheduledTask scheduleReplyTimeout() {
        return loop.schedule(loop.nowTicks() + replyTimeoutTicks, () -> end(ControlStatus.TIMED_OUT));
    }

    boolean hasVoteInFlight() {
        return inFlight != null;
    }

    boolean hasEnded() {
        return ended;
    }

    /** Whether the next vote may go on it, where the control service is at that address. */
    boolean isReusableFor(InetSocketAddress serviceAddress) {
        return connection.isOpen()
                && address.equals(serviceAddress)
                && loop.nowTicks() <= idleSinceTicks + MAX_IDLE_TICKS;
    }

    /** Sends a vote; only while none is in flight. */
    void send(CastVote vote) {
        inFlight = vote;
        connection.write(ControlServiceProtocol.encodeVote(vote));
        replyTimeout = scheduleReplyTimeout();
    }

    @Override
    public void onBytes(byte[] bytes, long arrivedAtTicks) {
        try {
            lines.<MalformedMessageException>read(ByteBuffer.wrap(bytes), line -> onLine(line, arrivedAtTicks));
        } catch (LineTooLongException | MalformedMessageException e) {
            LOG.warn("control service: the reply to a vote cannot be parsed: {}", e.getMessage());
            end(ControlStatus.TIMED_OUT);
        }
    }

    private void onLine(String line, long arrivedAtTicks) throws MalformedMessageException {
        if (ControlServiceProtocol.isNotification(line)) {
            return;
        }
        if (inFlight == null) {
            throw new MalformedMessageException(
                    "reply", MalformedMessageException.excerpt(line) + " came without a vote in flight");
        }
        VoteReply reply = ControlServiceProtocol.parseVoteReply(line);
        inFlight = null;
        replyTimeout.cancel();
        idleSinceTicks = loop.nowTicks();
        Event.RolloutUpdate update = toUpdate(reply, Math.max(0, loop.nowTicks() - arrivedAtTicks));
        LOG.info(
                "the reply to a vote is {}: build {} stage {} {}",
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
        return withoutState(((VoteRejected) reply).status());
    }

    private static Event.RolloutUpdate withoutState(ControlStatus status) {
        return new Event.RolloutUpdate(status, 0, 0, 0, RolloutPhase.CANARY, 0, true);
    }

    @Override
    public void onClosed(boolean written) {
        end(written ? ControlStatus.TIMED_OUT : ControlStatus.FAILED);
    }

    /**
     * Closes the connection for good.
     *
     * @param status what a vote in flight is answered with
     */
    void end(ControlStatus status) {
        ended = true;
        connection.close();
        replyTimeout.cancel();
        CastVote unanswered = inFlight;
        if (unanswered != null) {
            LOG.info(
                    "a vote on build {} stage {} ends without a reply: {}",
                    unanswered.build(),
                    unanswered.stage(),
                    status);
            inFlight = null;
            replies.accept(withoutState(status));
        }
    }
}

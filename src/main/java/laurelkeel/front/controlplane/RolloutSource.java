package laurelkeel.front.controlplane;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import laurelkeel.api.Action;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.eventloop.EventLoop;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the control service's rollouts over a watch that it keeps open, and sends votes and reports to the service.
 * Thread-safe.
 */
public final class RolloutSource {
    private static final Logger LOG = LoggerFactory.getLogger(RolloutSource.class);
    private static final ObjectMapper JSON = new ObjectMapper();

    private static final String WATCH_PATH = "/release/watch?front=";
    private static final String VOTES_PATH = "/release/votes";
    private static final String REPORTS_PATH = "/release/reports";
    private static final long REPORT_TIMEOUT_MILLIS = 2_000;
    private static final int OK = 200;

    /** Receives what the source learns, on the event loop's thread and ahead of traffic. */
    public interface Listener {
        /**
         * A message of the watch has come in.
         *
         * @param arrivedAtTicks when its bytes were read
         */
        void onMessage(RolloutMessage message, long arrivedAtTicks);

        /**
         * A vote has ended; each one does once.
         *
         * @param build that the vote was on
         * @param arrivedAtTicks when the response came or was given up
         */
        void onVoteEnded(int build, VoteResponse response, long arrivedAtTicks);
    }

    private final ControlPlaneClient client;
    private final int nodeIndex;
    private final EventLoop loop;
    private final Listener listener;
    private final WatchSupervisor watch;

    /**
     * Creates a source that makes no call before its start.
     *
     * @param seed of the random part of the backoff
     */
    public RolloutSource(ControlPlaneClient client, int nodeIndex, long seed, Listener listener) {
        this.client = client;
        this.nodeIndex = nodeIndex;
        this.listener = listener;
        loop = client.loop();
        watch = WatchSupervisor.reconnecting(client, "rollout", () -> WATCH_PATH + nodeIndex, this::onLine, seed);
    }

    /** Opens the watch. */
    public void start() {
        watch.open();
    }

    /** Ends the watch. */
    public void close() {
        watch.close();
    }

    private void onLine(String line) {
        long arrivedAtTicks = loop.clockTicks();
        try {
            RolloutJson json = RolloutJson.read(line);
            if (json == null) {
                return;
            }
            watch.resetBackoff();
            RolloutMessage message = json.parse();
            if (message != null) {
                loop.postPriority(() -> listener.onMessage(message, arrivedAtTicks));
            }
        } catch (InvalidMessageException e) {
            LOG.warn("a line of the rollout is passed over: {}", e.getMessage());
        }
    }

    /** Sends what this node saw in one second; lost where the service does not answer, for the next report says more. */
    public void report(Object report) {
        try {
            client.postWithoutResponse(REPORTS_PATH, JSON.writeValueAsBytes(report), REPORT_TIMEOUT_MILLIS);
        } catch (JsonProcessingException | RuntimeException e) {
            LOG.warn("a report could not be sent: {}", e.toString());
        }
    }

    /** Sends a vote; exactly one {@link Listener#onVoteEnded} follows. */
    public void vote(Action.CastVote vote, long timeoutMillis) {
        Ballot ballot = new Ballot(nodeIndex, vote.build(), vote.stage(), ControlPlaneTerms.name(vote.verdict()));
        ControlPlaneClient.whenDone(send(ballot, timeoutMillis), (response, failure) -> {
            long arrivedAtTicks = loop.clockTicks();
            VoteResponse result = voteResponse(response, failure);
            loop.postPriority(() -> listener.onVoteEnded(vote.build(), result, arrivedAtTicks));
        });
    }

    private CompletableFuture<HttpResponse<String>> send(Ballot ballot, long timeoutMillis) {
        try {
            return client.post(VOTES_PATH, JSON.writeValueAsBytes(ballot), timeoutMillis);
        } catch (JsonProcessingException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private static VoteResponse voteResponse(@Nullable HttpResponse<String> response, @Nullable Throwable failure) {
        if (response == null) {
            return new VoteResponse(isTimeout(failure) ? ControlStatus.TIMED_OUT : ControlStatus.FAILED, null);
        }
        if (response.statusCode() == OK) {
            try {
                RolloutJson json = RolloutJson.read(response.body());
                if (json != null) {
                    return json.parseVoteResponse();
                }
                LOG.warn("the answer to a vote is passed over: it is empty");
            } catch (InvalidMessageException e) {
                LOG.warn("the answer to a vote is passed over: {}", e.getMessage());
            }
        }
        return new VoteResponse(ControlStatus.FAILED, null);
    }

    /** A call that was given up is cancelled: the timeout of the HTTP client itself ends with the headers. */
    private static boolean isTimeout(@Nullable Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof HttpTimeoutException || cause instanceof CancellationException;
    }
}

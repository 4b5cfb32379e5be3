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
 * Receives the state of rollouts from the control service over a watch that it keeps open, and sends votes and reports to
 * the service.
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

    /** Receives updates on the event loop's thread, ahead of traffic. */
    public interface Listener {
        /**
         * Called when a message of the watch has arrived.
         *
         * @param arrivedAtTicks when the message was read
         */
        void onMessage(RolloutMessage message, long arrivedAtTicks);

        /**
         * Called exactly once for each vote, when it has been answered or has failed.
         *
         * @param build the build that was voted on
         * @param arrivedAtTicks when the response arrived or the vote was given up
         */
        void onVoteEnded(int build, VoteResponse response, long arrivedAtTicks);
    }

    private final ControlPlaneClient client;
    private final int nodeIndex;
    private final EventLoop loop;
    private final Listener listener;
    private final WatchSupervisor watch;

    /**
     * Creates a source that makes no call before {@link #start}.
     *
     * @param seed determines the random part of the reconnect backoff
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
            LOG.warn("ignoring an invalid rollout message: {}", e.getMessage());
        }
    }

    /** Sends this node's report of one second. Not retried if it fails, because the next report says more. */
    public void report(Object report) {
        try {
            client.postWithoutResponse(REPORTS_PATH, JSON.writeValueAsBytes(report), REPORT_TIMEOUT_MILLIS);
        } catch (JsonProcessingException | RuntimeException e) {
            LOG.warn("cannot send a report: {}", e.toString());
        }
    }

    /** Sends a vote; exactly one call of {@link Listener#onVoteEnded} follows. */
    public void vote(Action.CastVote vote, long timeoutMillis) {
        VoteJson json = new VoteJson(nodeIndex, vote.build(), vote.stage(), ControlPlaneTerms.name(vote.verdict()));
        ControlPlaneClient.whenDone(send(json, timeoutMillis), (response, failure) -> {
            long arrivedAtTicks = loop.clockTicks();
            VoteResponse result = voteResponse(response, failure);
            loop.postPriority(() -> listener.onVoteEnded(vote.build(), result, arrivedAtTicks));
        });
    }

    private CompletableFuture<HttpResponse<String>> send(VoteJson json, long timeoutMillis) {
        try {
            return client.post(VOTES_PATH, JSON.writeValueAsBytes(json), timeoutMillis);
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
                LOG.warn("ignoring an empty response to a vote");
            } catch (InvalidMessageException e) {
                LOG.warn("ignoring an invalid response to a vote: {}", e.getMessage());
            }
        }
        return new VoteResponse(ControlStatus.FAILED, null);
    }

    /** Calls past their total timeout are cancelled, since the HTTP client's own timeout covers only the headers. */
    private static boolean isTimeout(@Nullable Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof HttpTimeoutException || cause instanceof CancellationException;
    }
}

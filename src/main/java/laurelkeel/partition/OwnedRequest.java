package laurelkeel.partition;

import static laurelkeel.partition.ConcurrentRollouts.NO_BUILD;

import laurelkeel.api.Event.AttemptEnded;
import laurelkeel.api.Event.AttemptOutcome;
import org.jspecify.annotations.Nullable;

/**
 * A request that is owned by one partition until it has its final answer and its attempts have ended.
 *
 * <p>A suppressed attempt is never sent, but the partition's decider counts it, so that attempts are numbered
 * differently within the partition than on the node. The translation between the two is valid as long as a decider has
 * only one attempt of a request in flight at a time. Not thread-safe.
 */
final class OwnedRequest {
    private final TrafficPartition partition;
    private final @Nullable String key;
    private final int route;

    private boolean answered;
    private int attemptsInFlight;
    private int sentAttempts;
    private int suppressedAttempts;
    private int lastAttemptBuild = NO_BUILD;

    OwnedRequest(TrafficPartition partition, @Nullable String key, int route) {
        this.partition = partition;
        this.key = key;
        this.route = route;
    }

    TrafficPartition partition() {
        return partition;
    }

    @Nullable
    String key() {
        return key;
    }

    int route() {
        return route;
    }

    /** Returns the build that the last attempt was sent to, or {@link ConcurrentRollouts#NO_BUILD}. */
    int lastAttemptBuild() {
        return lastAttemptBuild;
    }

    /** Returns whether the request has its final answer. */
    boolean isAnswered() {
        return answered;
    }

    void markAnswered() {
        answered = true;
    }

    /** Returns whether the request has its final answer and no attempt in flight. */
    boolean isComplete() {
        return answered && attemptsInFlight <= 0;
    }

    void onAttemptSent(int build) {
        attemptsInFlight++;
        sentAttempts++;
        lastAttemptBuild = build;
    }

    void onAttemptEnded(AttemptEnded ended) {
        attemptsInFlight--;
        answered |= ended.outcome() == AttemptOutcome.COMPLETED || ended.requestEnded();
    }

    /**
     * Records that an attempt of the partition's decider is not sent.
     *
     * @return the number of that attempt within the partition
     */
    int suppressAttempt() {
        int attempt = sentAttempts + suppressedAttempts;
        suppressedAttempts++;
        return attempt;
    }

    /** Returns the number of an attempt within the partition, by its number on the node. */
    int toPartitionAttempt(int nodeAttempt) {
        return nodeAttempt + suppressedAttempts;
    }

    /** Returns the number of an attempt on the node, by its number within the partition. */
    int toNodeAttempt(int partitionAttempt) {
        return partitionAttempt - suppressedAttempts;
    }

    /** Returns the event with the attempt's number within the partition. */
    AttemptEnded withPartitionNumbering(AttemptEnded ended) {
        if (suppressedAttempts == 0) {
            return ended;
        }
        return new AttemptEnded(
                ended.requestId(),
                toPartitionAttempt(ended.attempt()),
                ended.endpointId(),
                ended.outcome(),
                ended.durationTicks(),
                ended.requestEnded(),
                ended.loadReport());
    }
}

package laurelkeel.partition;

import static laurelkeel.partition.ConcurrentRollouts.NO_BUILD;

import laurelkeel.api.Event.AttemptEnded;
import laurelkeel.api.Event.AttemptOutcome;
import org.jspecify.annotations.Nullable;

/**
 * A request that is owned by one partition until it has its final answer and its attempts have ended.
 *
 * <p>An attempt that is suppressed was never sent, yet the partition's decider counts it: attempts carry other numbers
 * within the partition than on the node. The translation holds as long as a decider has one attempt of a request in
 * flight at a time. Not thread-safe.
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

    /** The build that the last attempt was sent to, or {@link ConcurrentRollouts#NO_BUILD}. */
    int lastAttemptBuild() {
        return lastAttemptBuild;
    }

    /** Whether it has its final answer. */
    boolean isAnswered() {
        return answered;
    }

    void markAnswered() {
        answered = true;
    }

    /** Whether neither an answer nor the end of an attempt is still to come. */
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
     * Notes that an attempt of the partition's decider is not sent.
     *
     * @return the number of that attempt within the partition
     */
    int suppressAttempt() {
        int attempt = sentAttempts + suppressedAttempts;
        suppressedAttempts++;
        return attempt;
    }

    /** The number that the partition's decider gave to an attempt. */
    int toPartitionAttempt(int nodeAttempt) {
        return nodeAttempt + suppressedAttempts;
    }

    /** The number that the node gave to an attempt. */
    int toNodeAttempt(int partitionAttempt) {
        return partitionAttempt - suppressedAttempts;
    }

    /** The same end of an attempt, as the partition's decider counts its attempts. */
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

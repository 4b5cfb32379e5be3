package laurelkeel.api;

import java.util.List;

/**
 * The settings that a front node receives when it starts.
 *
 * @param nodeIndex this node's index, from 0
 * @param nodeCount number of front nodes
 * @param zone index of this node's zone
 * @param valueByWork whether the value of a request grows with the work that it needs
 */
public record Settings(
        int nodeIndex,
        int nodeCount,
        int zone,
        List<Route> routes,
        List<Tenant> tenants,
        Limits limits,
        Capabilities capabilities,
        Costs costs,
        Rollout rollout,
        boolean valueByWork) {

    /** Returns the longest time that a client waits for an answer on any route, in ticks; 0 without routes. */
    public long longestTimeoutTicks() {
        return routes.stream().mapToLong(Route::timeoutTicks).max().orElse(0);
    }

    /** The effect of sending a request more than once. */
    public enum Idempotency {
        /** The same as sending it once. */
        IDEMPOTENT,
        /** The endpoints of a group recognize a repeat by its key for a limited time and do not process it again. */
        DEDUPLICATED,
        /** The request may take effect again. */
        NOT_IDEMPOTENT
    }

    /** The group of endpoints that jointly recognizes repeats of a deduplicated request. */
    public enum DeduplicationScope {
        /** All endpoints. */
        ALL,
        /** The endpoints of one zone. */
        ZONE,
        /** The endpoints of one cell. */
        CELL
    }

    /**
     * One class of requests.
     *
     * @param latencyObjectiveTicks latency up to which an answer has its full value
     * @param timeoutTicks maximum time that a client waits
     * @param priorityWeight value of an answer relative to that of other routes
     * @param lateValueShare share of the value that an answer after the objective still has, from 0 to 1
     * @param deduplicationWindowTicks how long repeats are recognized, counted from the time at which the first
     *     attempt that may have run was sent
     */
    public record Route(
            Idempotency idempotency,
            DeduplicationScope deduplicationScope,
            long latencyObjectiveTicks,
            long timeoutTicks,
            double priorityWeight,
            double lateValueShare,
            long deduplicationWindowTicks) {}

    /**
     * One customer of the service.
     *
     * @param quotaPerSecond the tenant's quota in requests per second, over all nodes
     */
    public record Tenant(double quotaPerSecond) {}

    /**
     * The limits that endpoints impose on front nodes.
     *
     * @param drainGraceTicks how long attempts may still be sent to an endpoint after the update that reports it as
     *     draining
     * @param warmUpTicks time that an endpoint takes to reach its full capacity after a start
     * @param warmUpInitialShare share of its full capacity that an endpoint has at its start, from 0 to 1
     * @param overloadWindowTicks window over which the work at an endpoint that is warming up is counted
     * @param overloadMultiple an endpoint that is warming up becomes overloaded if the work in that window exceeds this
     *     multiple of its current capacity
     * @param maxEndpointListAgeTicks maximum age of the endpoint list if it is polled
     */
    public record Limits(
            long drainGraceTicks,
            long warmUpTicks,
            double warmUpInitialShare,
            long overloadWindowTicks,
            double overloadMultiple,
            long maxEndpointListAgeTicks) {}

    /**
     * The operations that a front node may use.
     *
     * @param maxAttempts maximum number of attempts per request, including the first
     * @param healthChecks whether endpoints may be health-checked
     * @param gossip whether nodes may send each other messages
     * @param cancellation whether attempts may be cancelled
     * @param retryAfter whether a rejection may tell the client how long to wait before a retry
     * @param maxRetryAfterTicks maximum wait that a rejection may ask for
     * @param endpointPolling whether the endpoint list has to be polled; otherwise it is pushed
     */
    public record Capabilities(
            int maxAttempts,
            boolean healthChecks,
            boolean gossip,
            boolean cancellation,
            boolean retryAfter,
            long maxRetryAfterTicks,
            boolean endpointPolling) {}

    /**
     * The costs of operations and faults, as multiples of the value of a request.
     *
     * @param crossZone cost of an attempt in another zone
     * @param healthCheck cost of one health check
     * @param gossip cost of one message to one node
     * @param staleBuild cost of an answer from a build that is older than the newest build that is not faulty
     * @param harm cost of an answer that is bad because of a faulty build
     */
    public record Costs(double crossZone, double healthCheck, double gossip, double staleBuild, double harm) {}

    /** The condition on which a rollout advances to its next stage. */
    public enum PromotionPolicy {
        /** The first vote to promote advances it. */
        FIRST_VOTE,
        /** A sufficient number of votes advances it. */
        VOTE_COUNT,
        /** It advances with time; votes can hold it. */
        AUTOMATIC
    }

    /**
     * The rules by which builds are rolled out.
     *
     * @param promoteVotes number of votes that advance a rollout to its next stage
     * @param rollBackVotes number of votes that roll a build back
     * @param holdVotes number of votes that hold a rollout in its stage; 0 if votes cannot hold it
     * @param voteLifetimeTicks how long a vote counts
     * @param voteTimeoutTicks maximum wait for the response to a vote
     * @param votesPerSecond number of votes per second that the control service accepts from all nodes together
     * @param stageExposureCaps for each stage, the share of the requests that the build may receive, from 0 to 1
     * @param minStageTicks minimum duration of a stage
     * @param guardedStages number of stages, from the first, in which the build may receive idempotent requests only
     * @param stickyKeys whether, during a rollout, requests with a key that the build has served or may have served
     *     must not go to an earlier build
     * @param exposureWindowTicks window over which exposure is counted
     * @param exposureAllowance number of attempts in that window that are allowed in addition to the cap's share
     * @param exposurePerRoute whether exposure is counted per route
     * @param statisticsIntervalTicks interval at which the platform sends {@link Event.BuildStatistics}; 0 for never
     * @param complaintShare share of wrong answers that clients report, from 0 to 1
     */
    public record Rollout(
            PromotionPolicy promotionPolicy,
            int promoteVotes,
            int rollBackVotes,
            int holdVotes,
            long voteLifetimeTicks,
            long voteTimeoutTicks,
            double votesPerSecond,
            List<Double> stageExposureCaps,
            long minStageTicks,
            int guardedStages,
            boolean stickyKeys,
            long exposureWindowTicks,
            double exposureAllowance,
            boolean exposurePerRoute,
            long statisticsIntervalTicks,
            double complaintShare) {}
}

package laurelkeel.api;

import java.util.List;

/**
 * What a front node is told when it starts.
 *
 * @param nodeIndex this node's number, from 0
 * @param nodeCount how many front nodes there are
 * @param zone index of this node's zone
 * @param valueByWork whether a request's value grows with the work it needs
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

    /** What sending a request more than once does. */
    public enum Idempotency {
        /** Nothing beyond what sending it once does. */
        IDEMPOTENT,
        /** Endpoints of a group know a repeat by its key for a while and drop it. */
        DEDUPLICATED,
        /** It may take effect again. */
        NOT_IDEMPOTENT
    }

    /** Which endpoints together know repeats of a deduplicated request. */
    public enum DeduplicationScope {
        /** All of them. */
        ALL,
        /** Those of one zone. */
        ZONE,
        /** Those of one cell. */
        CELL
    }

    /**
     * One class of requests.
     *
     * @param latencyObjectiveTicks an answer within it earns its full value
     * @param timeoutTicks the longest that a client waits
     * @param priorityWeight the value of an answer beside that of other routes
     * @param lateValueShare share of the value that an answer after the objective still has, from 0 to 1
     * @param deduplicationWindowTicks how long repeats are known, from the send of the first attempt that may have run
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
     * @param quotaPerSecond requests a second within its share, over all nodes
     */
    public record Tenant(double quotaPerSecond) {}

    /**
     * What endpoints bear.
     *
     * @param drainGraceTicks how long after the news of a drain something may still be sent there
     * @param warmUpTicks how long an endpoint takes to reach its full capacity after a start
     * @param warmUpInitialShare share of its capacity that it starts with, from 0 to 1
     * @param overloadWindowTicks span over which work at an endpoint that warms up is counted
     * @param overloadMultiple of its present capacity beyond which it falls over, within that span
     * @param maxPollIntervalTicks how old news of the endpoint list may become where the list is polled
     */
    public record Limits(
            long drainGraceTicks,
            long warmUpTicks,
            double warmUpInitialShare,
            long overloadWindowTicks,
            double overloadMultiple,
            long maxPollIntervalTicks) {}

    /**
     * What a front node may do.
     *
     * @param maxAttempts of one request
     * @param healthChecks whether endpoints may be checked
     * @param gossip whether nodes may send each other messages
     * @param cancellation whether attempts may be cancelled
     * @param retryAfter whether a rejected client may be told when to come back
     * @param maxRetryAfterTicks the longest that it may be told
     * @param endpointPolling whether the endpoint list has to be asked for; otherwise it is pushed
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
     * What things cost, in values of a request.
     *
     * @param crossZone an attempt in another zone
     * @param healthCheck one health check
     * @param gossip one message to one node
     * @param staleBuild an answer by a build older than the newest good one
     * @param harm an answer that a bad build spoils
     */
    public record Costs(double crossZone, double healthCheck, double gossip, double staleBuild, double harm) {}

    /** What moves a rollout to its next stage. */
    public enum PromotionPolicy {
        /** The first vote. */
        FIRST_VOTE,
        /** Enough votes. */
        VOTE_COUNT,
        /** Time alone; votes can hold it. */
        AUTOMATIC
    }

    /**
     * How builds are rolled out.
     *
     * @param promoteVotes votes that a stage needs to go on
     * @param rollBackVotes votes that take a build back
     * @param holdVotes votes that keep a stage; 0 where none do
     * @param voteLifetimeTicks how long a vote counts
     * @param voteTimeoutTicks the longest wait for the answer to a vote
     * @param votesPerSecond that the control service takes of all nodes together
     * @param stageExposureCaps for each stage, the share of requests that the build may get
     * @param minStageTicks the least time of a stage
     * @param guardedStages so many stages, from the first, take idempotent requests only
     * @param stickyKeys whether a key that a build has answered goes to no earlier build during the rollout
     * @param exposureWindowTicks the span over which exposure is counted
     * @param exposureAllowance attempts in that span that need no share
     * @param exposurePerRoute whether exposure is counted for each route by itself
     * @param statisticsIntervalTicks how often the platform sends {@link Event.BuildStatistics}; 0 for never
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

package laurelkeel.testbed;

import java.util.List;

/**
 * How the rollout service runs rollouts.
 *
 * @param stageServerShares share of the servers that run the build, by stage
 * @param stageExposureCaps share of requests that may go to the build, by stage
 * @param promotion what lets a rollout enter its next stage
 * @param promoteVotes votes that promote, under {@link PromotionPolicy#VOTE_COUNT}
 * @param rollBackVotes votes that roll back
 * @param holdVotes votes that hold, under {@link PromotionPolicy#AUTOMATIC}; 0 for never
 * @param minStageTicks the least time in a stage
 * @param voteLifetimeTicks how long a vote counts
 * @param votesPerSecond beyond which votes are rejected
 * @param updateDelayTicks the longest usual delay of an update
 * @param updateIntervalTicks how often updates are repeated
 * @param serverStartTicks the longest start of a server
 * @param maxDrainTicks the longest drain of a server
 * @param maxConcurrentRollouts builds that may be canaries at once
 */
public record RolloutPolicy(
        List<Double> stageServerShares,
        List<Double> stageExposureCaps,
        PromotionPolicy promotion,
        ReplacementStyle replacement,
        int promoteVotes,
        int rollBackVotes,
        int holdVotes,
        long minStageTicks,
        long voteLifetimeTicks,
        double votesPerSecond,
        long updateDelayTicks,
        long updateIntervalTicks,
        long serverStartTicks,
        long maxDrainTicks,
        int maxConcurrentRollouts) {}

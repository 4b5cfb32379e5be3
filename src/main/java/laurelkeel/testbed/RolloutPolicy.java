package laurelkeel.testbed;

import java.util.List;

/**
 * How the rollout service runs rollouts.
 *
 * @param stageServerShares share of the servers that run the build, by stage
 * @param stageExposureCaps share of requests that may go to the build, by stage
 * @param promotion the condition under which a rollout enters its next stage
 * @param promoteVotes number of votes that promote, under {@link PromotionPolicy#VOTE_COUNT}
 * @param rollBackVotes number of votes that roll back
 * @param holdVotes number of votes that hold a stage, under {@link PromotionPolicy#AUTOMATIC}; 0 for never
 * @param minStageTicks minimum time in a stage
 * @param voteLifetimeTicks how long a vote is valid
 * @param votesPerSecond rate beyond which votes are rejected
 * @param updateDelayTicks maximum delay of an update without a fault
 * @param updateIntervalTicks how often updates are repeated
 * @param serverStartTicks maximum duration of a server's start
 * @param maxDrainTicks maximum duration of a server's drain
 * @param maxConcurrentRollouts maximum number of unfinished rollouts at a time
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

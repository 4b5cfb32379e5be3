package laurelkeel.testbed;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.records.RecordClock;
import laurelkeel.records.TrafficRecord;
import laurelkeel.testbed.ServiceTerms.Verdict;
import laurelkeel.testbed.ServiceTerms.VoteAnswer;
import org.jspecify.annotations.Nullable;

/**
 * Receives votes, counts those that are applicable and within the rate limit, and answers them. Used on the service's
 * loop.
 */
final class VoteHandler {
    /** Size of the rate limit's burst, in seconds of the permitted rate. */
    private static final double BURST_SECONDS = 2;
    /** Probability that a stalled service counts a vote, which it does not answer in any case. */
    private static final double COUNT_PROBABILITY_WHILE_STALLED = 0.5;
    /** Recorded if no answer was sent. */
    private static final String NO_ANSWER = "none";

    /** A vote as received. */
    record Vote(int nodeIndex, int build, int stage, String verdictName) {
        static Vote parse(JsonNode vote) {
            return new Vote(
                    vote.path("front").asInt(),
                    vote.path("build").asInt(),
                    vote.path("stage").asInt(),
                    vote.path("verdict").asText());
        }

        Verdict verdict() {
            return ServiceTerms.verdict(verdictName);
        }
    }

    private final EventLoop loop;
    private final SimulatedFleet fleet;
    private final RolloutPolicy policy;
    private final RolloutRegistry rollouts;
    private final RolloutServiceFaults faults;
    private final Consumer<TrafficRecord> records;
    private double tokens;
    private long lastRefillTicks;

    VoteHandler(
            SimulatedFleet fleet,
            RolloutPolicy policy,
            RolloutRegistry rollouts,
            RolloutServiceFaults faults,
            Consumer<TrafficRecord> records) {
        this.loop = fleet.loop;
        this.fleet = fleet;
        this.policy = policy;
        this.rollouts = rollouts;
        this.faults = faults;
        this.records = records;
        this.tokens = BURST_SECONDS * policy.votesPerSecond();
    }

    /** Handles a vote and returns the answer; null if the service is stalled and sends none. */
    @Nullable
    VoteAnswer handle(Vote vote) {
        refillTokens();
        boolean isStalled = faults.isStalled(loop.nowTicks());
        boolean isCounted = !isStalled || fleet.nextRandom() < COUNT_PROBABILITY_WHILE_STALLED;
        Rollout rollout = rollouts.get(vote.build());
        VoteAnswer answer;
        if (tokens < 1) {
            answer = VoteAnswer.RATE_LIMITED;
        } else if (rollout == null || !isApplicable(vote, rollout)) {
            answer = VoteAnswer.STALE;
        } else {
            answer = VoteAnswer.COUNTED;
            tokens--;
            if (isCounted) {
                rollout.vote(
                        vote.nodeIndex(), vote.stage(), vote.verdict(), loop.nowTicks() + policy.voteLifetimeTicks());
            }
        }
        records.accept(new TrafficRecord.VoteReceived(
                RecordClock.nowTicks(),
                vote.nodeIndex(),
                vote.build(),
                vote.stage(),
                vote.verdictName(),
                isStalled ? NO_ANSWER : answer.wireName()));
        return isStalled ? null : answer;
    }

    private void refillTokens() {
        double elapsedSeconds = (loop.nowTicks() - lastRefillTicks) / (double) RecordClock.TICKS_PER_SECOND;
        tokens = Math.min(BURST_SECONDS * policy.votesPerSecond(), tokens + elapsedSeconds * policy.votesPerSecond());
        lastRefillTicks = loop.nowTicks();
    }

    private boolean isApplicable(Vote vote, Rollout rollout) {
        Verdict verdict = vote.verdict();
        boolean isOpen = rollout.isCanary() || (rollout.isReleased() && verdict == Verdict.ROLL_BACK);
        boolean isInapplicablePromotion = verdict == Verdict.PROMOTE
                && (vote.stage() != rollout.stage() || policy.promotion() == PromotionPolicy.AUTOMATIC);
        return isOpen && !isInapplicablePromotion;
    }
}

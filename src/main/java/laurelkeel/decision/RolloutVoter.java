package laurelkeel.decision;

import java.util.function.IntToLongFunction;
import laurelkeel.api.Action.CastVote;
import laurelkeel.api.Action.Verdict;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.Settings.PromotionPolicy;
import laurelkeel.api.Settings.Rollout;
import laurelkeel.api.Ticks;
import org.jspecify.annotations.Nullable;

/**
 * Decides when the node votes on the newest build, and how.
 *
 * <p>It votes to roll the build back as soon as the check finds a regression. Otherwise it votes to promote a canary,
 * unless promotion is automatic, once {@link Endpoint#SETTLING_TICKS} have passed since both the start of the stage and
 * the start of the build's newest endpoint. A vote is renewed before it expires.
 */
final class RolloutVoter {
    private static final long EVALUATION_INTERVAL_TICKS = Ticks.PER_SECOND / 4;
    private static final long PAUSE_AFTER_VOTE_TICKS = Ticks.PER_SECOND / 2;
    /** How long a response is awaited beyond the timeout of a vote. */
    private static final long RESPONSE_GRACE_TICKS = Ticks.PER_SECOND / 2;

    /** Tenths of a vote's lifetime after which it is renewed. */
    private static final long RENEWAL_TENTHS = 6;

    /** Compares a build with its baseline. */
    interface RegressionCheck {
        /** Returns the evidence against a candidate build, or null if there is none. */
        @Nullable
        Regression findRegression(int candidate, int baseline, boolean isBaselineServing, long nowTicks);
    }

    /**
     * A vote to cast.
     *
     * @param regression reason for a rollback; null for other verdicts
     */
    record Vote(CastVote action, @Nullable Regression regression) {}

    private record Evaluation(Verdict verdict, @Nullable Regression regression) {}

    private static final Evaluation NO_VOTE = new Evaluation(Verdict.NONE, null);

    private final Rollout settings;
    private final RolloutState rollout;
    private final RegressionCheck regressions;
    private final IntToLongFunction newestStartTicks;

    private @Nullable CastVote acceptedVote;
    private long acceptedVoteCastAtTicks;
    private @Nullable CastVote pendingVote;
    private long pendingVoteCastAtTicks;
    private long nextEvaluationAtTicks;

    /** @param newestStartTicks returns when the newest active endpoint of a build started; 0 for long ago */
    RolloutVoter(
            Rollout settings, RolloutState rollout, RegressionCheck regressions, IntToLongFunction newestStartTicks) {
        this.settings = settings;
        this.rollout = rollout;
        this.regressions = regressions;
        this.newestStartTicks = newestStartTicks;
    }

    /** Records the response to the last vote. */
    void voteResponseReceived(ControlStatus status) {
        if (pendingVote == null) {
            return;
        }
        if (status == ControlStatus.OK) {
            acceptedVote = pendingVote;
            acceptedVoteCastAtTicks = pendingVoteCastAtTicks;
        }
        pendingVote = null;
    }

    /** Returns the vote to cast now and records it as cast; null if there is none. */
    @Nullable
    Vote nextVote(long nowTicks) {
        if (rollout.announcedBuild() < 0 || nowTicks < nextEvaluationAtTicks || isResponseAwaited(nowTicks)) {
            return null;
        }
        nextEvaluationAtTicks = nowTicks + EVALUATION_INTERVAL_TICKS;
        Evaluation evaluation = evaluate(nowTicks);
        if (evaluation.verdict() == Verdict.NONE || isVoteInEffect(evaluation.verdict(), nowTicks)) {
            return null;
        }
        CastVote vote = new CastVote(rollout.announcedBuild(), rollout.stage(), evaluation.verdict());
        pendingVote = vote;
        pendingVoteCastAtTicks = nowTicks;
        nextEvaluationAtTicks = nowTicks + PAUSE_AFTER_VOTE_TICKS;
        return new Vote(vote, evaluation.regression());
    }

    private boolean isResponseAwaited(long nowTicks) {
        return pendingVote != null
                && nowTicks < pendingVoteCastAtTicks + settings.voteTimeoutTicks() + RESPONSE_GRACE_TICKS;
    }

    private boolean isVoteInEffect(Verdict verdict, long nowTicks) {
        CastVote vote = acceptedVote;
        return vote != null
                && vote.build() == rollout.announcedBuild()
                && vote.verdict() == verdict
                && (verdict != Verdict.PROMOTE || vote.stage() == rollout.stage())
                && nowTicks < acceptedVoteCastAtTicks + settings.voteLifetimeTicks() * RENEWAL_TENTHS / 10;
    }

    private Evaluation evaluate(long nowTicks) {
        int build = rollout.announcedBuild();
        if (rollout.evaluatedBuild(nowTicks) != build) {
            return NO_VOTE;
        }
        boolean isCanary = rollout.phase() == RolloutPhase.CANARY;
        int baseline = rollout.baselineBuild();
        // the baseline serves only while the build is a canary
        Regression regression =
                baseline == build ? null : regressions.findRegression(build, baseline, isCanary, nowTicks);
        if (regression != null) {
            return new Evaluation(Verdict.ROLL_BACK, regression);
        }
        long latestStartTicks = Math.max(rollout.stageStartedAtTicks(), newestStartTicks.applyAsLong(build));
        boolean mayPromote = isCanary
                && settings.promotionPolicy() != PromotionPolicy.AUTOMATIC
                && nowTicks >= latestStartTicks + Endpoint.SETTLING_TICKS;
        return mayPromote ? new Evaluation(Verdict.PROMOTE, null) : NO_VOTE;
    }
}

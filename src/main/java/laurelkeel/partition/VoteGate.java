package laurelkeel.partition;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import laurelkeel.api.Action;
import laurelkeel.api.Action.CastVote;
import laurelkeel.api.Action.Verdict;
import laurelkeel.api.Ticks;
import laurelkeel.partition.PartitionedDecider.Attribution;
import org.jspecify.annotations.Nullable;

/**
 * Withholds votes of the partitions' deciders until regressions are attributed, and votes to roll back the builds that
 * they are attributed to.
 *
 * <p>A decider compares its rollout's build only with the baseline, and may therefore attribute a regression to its own
 * build that another rollout causes. The reports of all nodes are used to attribute a regression to one of the
 * rollouts. This class determines which votes wait for that attribution, and votes to roll back the build that the
 * regression is attributed to. Not thread-safe.
 */
final class VoteGate {
    /**
     * How long votes to roll back a build are withheld at most, counted from the first vote withheld in its rollout;
     * after that, the decider's own comparison is sufficient.
     */
    private static final long ROLL_BACK_DELAY_TICKS = 15 * Ticks.PER_SECOND;

    private final long renewalTicks;
    private final Map<Integer, Attribution> attributions = new HashMap<>();
    private final Map<Integer, Long> firstWithheldAtTicks = new HashMap<>();
    private final Map<Integer, Long> lastRollBackVoteAtTicks = new HashMap<>();

    /** @param voteLifetimeTicks how long a vote is valid */
    VoteGate(long voteLifetimeTicks) {
        // renewed before it expires, with enough time left if an answer is lost
        renewalTicks = voteLifetimeTicks * 6 / 10;
    }

    void setAttribution(int build, Attribution attribution) {
        attributions.put(build, attribution);
    }

    /** Removes the state of a build whose rollout has ended. */
    void removeBuild(int build) {
        attributions.remove(build);
        firstWithheldAtTicks.remove(build);
        lastRollBackVoteAtTicks.remove(build);
    }

    /** Returns why a partition's vote must not be cast yet, as text for the log, or null if it may be cast. */
    @Nullable
    String reasonToWithhold(CastVote vote, long nowTicks) {
        Attribution own = attributions.getOrDefault(vote.build(), Attribution.NONE);
        boolean isAnyOpen = attributions.containsValue(Attribution.OPEN);
        boolean isAttributedToOther = isAttributedToOther(vote.build());
        if (vote.verdict() == Verdict.PROMOTE) {
            boolean mustWait = isAnyOpen || isAttributedToOther || own == Attribution.GUILTY;
            return mustWait
                    ? "no promotion until the regression is attributed and the build that causes it is rolled back"
                    : null;
        }
        if (vote.verdict() == Verdict.ROLL_BACK && own != Attribution.GUILTY) {
            boolean mustWait = isAnyOpen || isAttributedToOther || own == Attribution.CLEARED;
            return mustWait && isWithinDelay(vote.build(), nowTicks)
                    ? "no regression has been attributed to this build so far"
                    : null;
        }
        return null;
    }

    private boolean isAttributedToOther(int build) {
        return attributions.entrySet().stream()
                .anyMatch(entry -> entry.getKey() != build && entry.getValue() == Attribution.GUILTY);
    }

    private boolean isWithinDelay(int build, long nowTicks) {
        long firstTicks = firstWithheldAtTicks.computeIfAbsent(build, unused -> nowTicks);
        return nowTicks < firstTicks + ROLL_BACK_DELAY_TICKS;
    }

    /**
     * Returns the votes that are due to roll back canaries that a regression is attributed to or that are set aside,
     * with a log line for the first vote on each build.
     */
    List<Action> rollBackVotes(ConcurrentRollouts rollouts, long nowTicks) {
        List<Action> actions = new ArrayList<>();
        attributions.forEach((build, attribution) -> {
            RolloutRecord rollout = rollouts.find(build);
            if (rollout != null && rollout.isCanary() && requiresRollBack(attribution)) {
                voteToRollBack(rollout, attribution, nowTicks, actions);
            }
        });
        return actions;
    }

    private static boolean requiresRollBack(Attribution attribution) {
        return attribution == Attribution.GUILTY || attribution == Attribution.SET_ASIDE;
    }

    private void voteToRollBack(RolloutRecord rollout, Attribution attribution, long nowTicks, List<Action> actions) {
        int build = rollout.build();
        Long lastVoteTicks = lastRollBackVoteAtTicks.get(build);
        if (lastVoteTicks != null && nowTicks < lastVoteTicks + renewalTicks) {
            return;
        }
        lastRollBackVoteAtTicks.put(build, nowTicks);
        actions.add(new CastVote(build, rollout.stage(), Verdict.ROLL_BACK));
        if (lastVoteTicks == null) {
            String reason = attribution == Attribution.GUILTY
                    ? "a regression is attributed to it"
                    : "set aside to determine whether the regression ends after the rollback";
            actions.add(new Action.WriteLog("votes to roll back build " + build + ": " + reason));
        }
    }
}

package laurelkeel.testbed;

import java.util.HashMap;
import java.util.Map;
import laurelkeel.records.RecordClock;
import laurelkeel.records.RecordTerms.RolloutPhase;
import laurelkeel.records.TrafficRecord;
import laurelkeel.testbed.ServiceTerms.Verdict;

/** One build's rollout: its phase and stage, and the votes on it. Not thread-safe; used on the service's loop. */
final class Rollout {
    private static final long NOT_HELD = -1;

    private record NodeVote(int stage, Verdict verdict, long expiryTicks) {}

    final BuildProfile build;
    private final Map<Integer, NodeVote> votesByNode = new HashMap<>();
    private RolloutPhase phase;
    private int stage;
    private double exposureCap;
    private long stageStartTicks;
    private long heldSinceTicks = NOT_HELD;
    private long heldTicks;
    /** The time at which the last server of the stage starts. */
    long serversReadyTicks;
    /** The number of servers of the build that are scheduled to start. */
    int startingServers;

    Rollout(BuildProfile build, RolloutPhase phase, double exposureCap, long nowTicks) {
        this.build = build;
        this.phase = phase;
        this.exposureCap = exposureCap;
        this.stageStartTicks = nowTicks;
    }

    RolloutPhase phase() {
        return phase;
    }

    int stage() {
        return stage;
    }

    double exposureCap() {
        return exposureCap;
    }

    long stageStartTicks() {
        return stageStartTicks;
    }

    boolean isCanary() {
        return phase == RolloutPhase.CANARY;
    }

    boolean isReleased() {
        return phase == RolloutPhase.RELEASED;
    }

    /** Returns whether the build is rolled back or released. */
    boolean hasEnded() {
        return phase == RolloutPhase.ROLLED_BACK || phase == RolloutPhase.RELEASED;
    }

    void enter(int newStage, RolloutPhase newPhase, double newExposureCap, long nowTicks) {
        stage = newStage;
        phase = newPhase;
        exposureCap = newExposureCap;
        stageStartTicks = nowTicks;
        heldTicks = 0;
        heldSinceTicks = NOT_HELD;
        if (newPhase != RolloutPhase.CANARY) {
            votesByNode.clear();
        }
    }

    /** Sets whether the stage is held, and accumulates the time for which it was. */
    void setHeld(boolean isHeld, long nowTicks) {
        if (isHeld && heldSinceTicks == NOT_HELD) {
            heldSinceTicks = nowTicks;
        } else if (!isHeld && heldSinceTicks != NOT_HELD) {
            heldTicks += nowTicks - heldSinceTicks;
            heldSinceTicks = NOT_HELD;
        }
    }

    /** Returns the time at which the stage has lasted for its minimum, excluding the time for which it was held. */
    long minStageEndTicks(long minStageTicks) {
        return Math.max(stageStartTicks, serversReadyTicks) + minStageTicks + heldTicks;
    }

    /** Records a node's vote, which replaces the node's earlier one. */
    void vote(int nodeIndex, int votedStage, Verdict verdict, long expiryTicks) {
        votesByNode.put(nodeIndex, new NodeVote(votedStage, verdict, expiryTicks));
    }

    /** Returns the number of unexpired votes; a vote to promote counts only for the stage that it names. */
    long countVotes(Verdict verdict, long nowTicks) {
        return votesByNode.values().stream()
                .filter(vote -> vote.expiryTicks > nowTicks && vote.verdict == verdict)
                .filter(vote -> verdict != Verdict.PROMOTE || vote.stage == stage)
                .count();
    }

    TrafficRecord.RolloutStageChanged toRecord() {
        return new TrafficRecord.RolloutStageChanged(RecordClock.nowTicks(), build.number(), stage, exposureCap, phase);
    }

    /** Returns the state as text, for example {@code build 2 stage 1 trial}. */
    String summary() {
        return "build " + build.number() + " stage " + stage + " "
                + ServiceTerms.wireName(phase).replace('-', ' ');
    }
}

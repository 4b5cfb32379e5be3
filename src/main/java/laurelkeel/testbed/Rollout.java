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

    private record Ballot(int stage, Verdict verdict, long expiryTicks) {}

    final BuildProfile build;
    private final Map<Integer, Ballot> ballotsByNode = new HashMap<>();
    private RolloutPhase phase;
    private int stage;
    private double exposureCap;
    private long stageStartTicks;
    private long heldSinceTicks = NOT_HELD;
    private long heldTicks;
    /** When the last server of the stage starts. */
    long serversReadyTicks;
    /** How many servers of the build are still to start. */
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

    /** Whether the build is off the fleet, or on all of it. */
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
            ballotsByNode.clear();
        }
    }

    /** Adds up how long the stage was held. */
    void setHeld(boolean isHeld, long nowTicks) {
        if (isHeld && heldSinceTicks == NOT_HELD) {
            heldSinceTicks = nowTicks;
        } else if (!isHeld && heldSinceTicks != NOT_HELD) {
            heldTicks += nowTicks - heldSinceTicks;
            heldSinceTicks = NOT_HELD;
        }
    }

    /** When the stage has lasted long enough, the time in which it was held left out. */
    long minStageEndTicks(long minStageTicks) {
        return Math.max(stageStartTicks, serversReadyTicks) + minStageTicks + heldTicks;
    }

    /** Counts a node's vote; its latest replaces earlier ones. */
    void vote(int nodeIndex, int votedStage, Verdict verdict, long expiryTicks) {
        ballotsByNode.put(nodeIndex, new Ballot(votedStage, verdict, expiryTicks));
    }

    /** Votes in force; a promotion counts for its stage only. */
    long countVotes(Verdict verdict, long nowTicks) {
        return ballotsByNode.values().stream()
                .filter(ballot -> ballot.expiryTicks > nowTicks && ballot.verdict == verdict)
                .filter(ballot -> verdict != Verdict.PROMOTE || ballot.stage == stage)
                .count();
    }

    TrafficRecord.RolloutStageChanged toRecord() {
        return new TrafficRecord.RolloutStageChanged(RecordClock.nowTicks(), build.number(), stage, exposureCap, phase);
    }

    /** Its state as text, as build 2 stage 1 trial. */
    String summary() {
        return "build " + build.number() + " stage " + stage + " "
                + ServiceTerms.wireName(phase).replace('-', ' ');
    }
}

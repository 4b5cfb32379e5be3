package laurelkeel.testbed;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import laurelkeel.attribution.AttributionFinding;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.records.RecordClock;
import laurelkeel.records.RecordTerms.RolloutPhase;
import laurelkeel.records.TrafficRecord;
import laurelkeel.testbed.ServiceTerms.Verdict;

/**
 * The state machine of rollouts: starts them, promotes them or rolls them back according to votes, time and
 * attribution, and has servers started and drained accordingly. Used on the service's loop.
 */
final class RolloutController {
    private static final long EVALUATION_INTERVAL_TICKS = 500;
    private static final long ATTRIBUTION_INTERVAL_TICKS = RecordClock.TICKS_PER_SECOND;
    /**
     * Delay before a rolled-back rollout ends for the attribution. Votes can arrive before reports, and reports still
     * in transit show whether the votes were right.
     */
    private static final long FINAL_REPORTS_DELAY_TICKS = 80_000;
    /** How long updates on an ended rollout are repeated. */
    private static final long ENDED_RETENTION_TICKS = 200_000;

    private final EventLoop loop;
    private final RolloutPolicy policy;
    private final RolloutRegistry rollouts;
    private final AttributionService attribution;
    private final RolloutServiceFaults faults;
    private final RolloutPublisher publisher;
    private final FleetReplacer replacer;
    private final Consumer<TrafficRecord> records;
    private final ArrayDeque<BuildProfile> queuedBuilds = new ArrayDeque<>();
    private final Map<Integer, String> publishedAttributions = new HashMap<>();
    private Rollout latest;
    private BuildProfile released;

    /** Creates a controller whose first build is already released, and starts that build's servers. */
    RolloutController(
            EventLoop loop,
            RolloutPolicy policy,
            RolloutRegistry rollouts,
            AttributionService attribution,
            RolloutServiceFaults faults,
            RolloutPublisher publisher,
            FleetReplacer replacer,
            Consumer<TrafficRecord> records,
            BuildProfile firstBuild) {
        this.loop = loop;
        this.policy = policy;
        this.rollouts = rollouts;
        this.attribution = attribution;
        this.faults = faults;
        this.publisher = publisher;
        this.replacer = replacer;
        this.records = records;
        this.released = firstBuild;
        this.latest = new Rollout(firstBuild, RolloutPhase.RELEASED, 1, loop.nowTicks());
        rollouts.add(latest);
        replacer.startInitial(firstBuild);
        records.accept(latest.toRecord());
    }

    /** Starts the periodic evaluation of rollouts and attribution. */
    void start() {
        loop.schedule(loop.nowTicks() + EVALUATION_INTERVAL_TICKS, this::evaluateAll);
        loop.schedule(loop.nowTicks() + ATTRIBUTION_INTERVAL_TICKS, this::evaluateAttribution);
    }

    /** Returns the rollout that began last. */
    Rollout latest() {
        return latest;
    }

    /** Returns the state of all rollouts in one line. */
    String summary() {
        return rollouts.all().stream().map(Rollout::summary).collect(Collectors.joining("; "));
    }

    /**
     * Starts a rollout, or queues it; if only one rollout is allowed at a time, the current canary is rolled back for
     * it.
     */
    void offer(BuildProfile build) {
        if (rollouts.unfinishedCount() < policy.maxConcurrentRollouts()) {
            begin(build);
            return;
        }
        queuedBuilds.addLast(build);
        if (policy.maxConcurrentRollouts() == 1) {
            rollouts.canaries().forEach(this::rollBack);
        }
    }

    private void begin(BuildProfile build) {
        Rollout rollout = new Rollout(build, RolloutPhase.CANARY, exposureCap(RolloutPhase.CANARY, 0), loop.nowTicks());
        latest = rollout;
        rollouts.add(rollout);
        attribution.rolloutStarted(build.number(), loop.nowTicks());
        enter(rollout, 0, RolloutPhase.CANARY);
    }

    private double exposureCap(RolloutPhase phase, int stage) {
        return switch (phase) {
            case CANARY -> policy.stageExposureCaps().get(stage);
            case RELEASED -> 1;
            case ROLLING_BACK, ROLLED_BACK -> 0;
        };
    }

    private void enter(Rollout rollout, int stage, RolloutPhase phase) {
        rollout.enter(stage, phase, exposureCap(phase, stage), loop.nowTicks());
        records.accept(rollout.toRecord());
        publisher.publish();
        if (phase == RolloutPhase.CANARY) {
            replacer.startStageServers(rollout);
        }
        if (phase == RolloutPhase.RELEASED) {
            release(rollout);
        }
        if (rollout.hasEnded()) {
            end(rollout);
        }
    }

    private void release(Rollout rollout) {
        int build = rollout.build.number();
        released = rollout.build;
        for (Rollout other : rollouts.all()) {
            if (other.isCanary() && other.build.number() < build) {
                rollBack(other);
            }
        }
        replacer.drainServersBefore(build);
    }

    private void end(Rollout rollout) {
        boolean isReleased = rollout.isReleased();
        loop.schedule(
                loop.nowTicks() + (isReleased ? 0 : FINAL_REPORTS_DELAY_TICKS),
                () -> attribution.rolloutEnded(rollout.build.number(), isReleased));
        loop.schedule(loop.nowTicks() + ENDED_RETENTION_TICKS, () -> {
            if (rollout != latest && !isReleasedBuild(rollout)) {
                rollouts.remove(rollout);
            }
        });
        if (!queuedBuilds.isEmpty() && rollouts.unfinishedCount() < policy.maxConcurrentRollouts()) {
            begin(queuedBuilds.removeFirst());
        }
    }

    private boolean isReleasedBuild(Rollout rollout) {
        return rollout.build.number() == released.number();
    }

    private void rollBack(Rollout rollout) {
        enter(rollout, rollout.stage(), RolloutPhase.ROLLING_BACK);
        replacer.rollBack(rollout, released);
        loop.schedule(
                loop.nowTicks() + policy.serverStartTicks() + policy.maxDrainTicks(),
                () -> enter(rollout, rollout.stage(), RolloutPhase.ROLLED_BACK));
    }

    private void evaluateAttribution() {
        loop.schedule(loop.nowTicks() + ATTRIBUTION_INTERVAL_TICKS, this::evaluateAttribution);
        for (AttributionFinding finding : attribution.evaluate(loop.nowTicks())) {
            recordChange(finding);
            Rollout rollout = rollouts.get(finding.build());
            if (finding.setAside() && rollout != null && rollout.isCanary()) {
                attribution.rolloutSetAside(finding.build());
                rollBack(rollout);
            }
        }
        if (rollouts.unfinishedCount() > 0) {
            publisher.publish();
        }
    }

    private void recordChange(AttributionFinding finding) {
        String published = attribution.attributionOf(finding.build());
        if (!published.equals(publishedAttributions.put(finding.build(), published))) {
            records.accept(new TrafficRecord.AttributionPublished(
                    RecordClock.nowTicks(), finding.build(), published, finding.probability(), finding.evidence()));
        }
    }

    private void evaluateAll() {
        loop.schedule(loop.nowTicks() + EVALUATION_INTERVAL_TICKS, this::evaluateAll);
        rollouts.all().forEach(this::evaluate);
    }

    private void evaluate(Rollout rollout) {
        boolean canRollBackRelease = canRollBackRelease(rollout);
        boolean hasEnoughRollBackVotes =
                rollout.countVotes(Verdict.ROLL_BACK, loop.nowTicks()) >= Math.max(1, policy.rollBackVotes());
        if ((rollout.isCanary() || canRollBackRelease) && hasEnoughRollBackVotes) {
            if (canRollBackRelease) {
                released = rollouts.buildBefore(rollout.build.number());
            }
            rollBack(rollout);
        } else if (rollout.isCanary() && !faults.isStalled(loop.nowTicks())) {
            evaluatePromotion(rollout);
        }
    }

    /**
     * Returns whether a build can still be rolled back after its release: it is the latest, and other rollouts are
     * known.
     */
    private boolean canRollBackRelease(Rollout rollout) {
        return rollout.isReleased()
                && rollout == latest
                && isReleasedBuild(rollout)
                && rollouts.all().size() > 1;
    }

    private void evaluatePromotion(Rollout rollout) {
        boolean isHeld = isHeld(rollout);
        rollout.setHeld(isHeld, loop.nowTicks());
        boolean hasLastedLongEnough = loop.nowTicks() >= rollout.minStageEndTicks(policy.minStageTicks());
        if (!hasLastedLongEnough || !mayPromote(rollout, isHeld)) {
            return;
        }
        boolean isLastStage = rollout.stage() + 1 >= policy.stageServerShares().size();
        if (isLastStage) {
            enter(rollout, rollout.stage(), RolloutPhase.RELEASED);
        } else {
            enter(rollout, rollout.stage() + 1, RolloutPhase.CANARY);
        }
    }

    private boolean isHeld(Rollout rollout) {
        if (policy.promotion() != PromotionPolicy.AUTOMATIC) {
            return false;
        }
        boolean isHeldByVotes =
                policy.holdVotes() > 0 && rollout.countVotes(Verdict.HOLD, loop.nowTicks()) >= policy.holdVotes();
        boolean isHeldByAttribution = rollouts.unfinishedCount() > 1
                && attribution.attributionOf(rollout.build.number()).equals(AttributionService.OPEN);
        return isHeldByVotes || isHeldByAttribution;
    }

    private boolean mayPromote(Rollout rollout, boolean isHeld) {
        long votes = rollout.countVotes(Verdict.PROMOTE, loop.nowTicks());
        return switch (policy.promotion()) {
            case FIRST_VOTE -> votes >= 1;
            case VOTE_COUNT -> votes >= Math.max(1, policy.promoteVotes());
            case AUTOMATIC -> !isHeld;
        };
    }
}

package laurelkeel.testbed;

import java.util.List;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.records.RecordClock;
import laurelkeel.records.RecordTerms.RolloutPhase;
import laurelkeel.testbed.ServiceTerms.VoteAnswer;
import org.jspecify.annotations.Nullable;

/**
 * Publishes the state of all rollouts to the service's watchers, each with its own delay. Used on the service's loop.
 */
final class RolloutPublisher {
    private final EventLoop loop;
    private final SimulatedFleet fleet;
    private final RolloutPolicy policy;
    private final RolloutRegistry rollouts;
    private final AttributionService attribution;
    private final RolloutServiceFaults faults;
    private final JsonLineService service;

    RolloutPublisher(
            SimulatedFleet fleet,
            RolloutPolicy policy,
            RolloutRegistry rollouts,
            AttributionService attribution,
            RolloutServiceFaults faults,
            JsonLineService service) {
        this.loop = fleet.loop;
        this.fleet = fleet;
        this.policy = policy;
        this.rollouts = rollouts;
        this.attribution = attribution;
        this.faults = faults;
        this.service = service;
    }

    /** Publishes at the policy's interval, for the first time after one interval. */
    void publishRepeatedly() {
        loop.schedule(loop.nowTicks() + policy.updateIntervalTicks(), () -> {
            publishRepeatedly();
            publish();
        });
    }

    /** Publishes all rollouts, unless the service is stalled. */
    void publish() {
        if (faults.isStalled(loop.nowTicks())) {
            return;
        }
        long seenAtTicks = loop.nowTicks();
        List<RolloutUpdateMessage> updates = updates();
        for (JsonLineService.Watcher watcher : service.watchers()) {
            long delayTicks = (long) (policy.updateDelayTicks() * (0.5 + fleet.nextRandom() / 2))
                    + faults.extraDelayTicks(loop.nowTicks());
            long dueTicks = watcher.nextDueTicks(loop.nowTicks() + delayTicks);
            loop.schedule(dueTicks, () -> {
                double delayMillis = (loop.nowTicks() - seenAtTicks) / RecordClock.TICKS_PER_MILLISECOND;
                updates.forEach(update -> watcher.send(update.delayedBy(delayMillis)));
            });
        }
    }

    /** Sends all rollouts to a new watcher without a delay. */
    void publishTo(JsonLineService.Watcher watcher) {
        updates().forEach(watcher::send);
    }

    private List<RolloutUpdateMessage> updates() {
        return rollouts.all().stream()
                .map(rollout -> message(rollout, RolloutUpdateMessage.UPDATE, null))
                .toList();
    }

    /** Returns the answer to a vote on a rollout. */
    RolloutUpdateMessage voteAnswer(Rollout rollout, VoteAnswer answer) {
        return message(rollout, RolloutUpdateMessage.VOTE_ANSWER, answer.wireName());
    }

    private RolloutUpdateMessage message(Rollout rollout, String kind, @Nullable String answer) {
        int build = rollout.build.number();
        return new RolloutUpdateMessage(
                kind,
                answer,
                build,
                rollout.stage(),
                rollout.exposureCap(),
                ServiceTerms.wireName(rollout.phase()),
                (loop.clockTicks() - rollout.stageStartTicks()) / RecordClock.TICKS_PER_MILLISECOND,
                buildsInService(),
                publishedAttribution(build));
    }

    private List<Integer> buildsInService() {
        return rollouts.all().stream()
                .filter(rollout -> rollout.phase() != RolloutPhase.ROLLED_BACK)
                .map(rollout -> rollout.build.number())
                .toList();
    }

    /**
     * Returns the attribution to publish. While no other rollout is unfinished, only {@code guilty} is published, since
     * there is no other build to which a regression could be attributed.
     */
    private String publishedAttribution(int build) {
        String current = attribution.attributionOf(build);
        boolean isPublished = rollouts.unfinishedCount() > 1 || current.equals(AttributionService.GUILTY);
        return isPublished ? current : AttributionService.NONE;
    }
}

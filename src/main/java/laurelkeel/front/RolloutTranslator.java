package laurelkeel.front;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import laurelkeel.api.Event;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.Ticks;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.controlplane.RolloutMessage;
import laurelkeel.front.controlplane.VoteResponse;

/** Translates what the control service says into events. Not thread-safe; used on the event loop's thread. */
final class RolloutTranslator {
    private final EventLoop loop;
    private final ControlPlaneRecorder recorder;
    /** The last status of each build that is a canary, in the order in which they became one. */
    private final Map<Integer, RolloutMessage.Status> canaries = new LinkedHashMap<>();

    RolloutTranslator(EventLoop loop, ControlPlaneRecorder recorder) {
        this.loop = loop;
        this.recorder = recorder;
    }

    /** The events of a message; first the ends of the rollouts that it shows to be over. */
    List<Event> translate(RolloutMessage message, long arrivedAtTicks) {
        if (message instanceof RolloutMessage.Statistics statistics) {
            return List.of(translate(statistics, arrivedAtTicks));
        }
        RolloutMessage.Status status = (RolloutMessage.Status) message;
        List<Event> events = new ArrayList<>();
        for (RolloutMessage.Status canary : List.copyOf(canaries.values())) {
            if (hasEnded(canary, status)) {
                events.add(update(ControlStatus.OK, canary.rolledBack(), arrivedAtTicks, false));
            }
        }
        events.add(update(ControlStatus.OK, status, arrivedAtTicks, false));
        return events;
    }

    /** A watch that was away may have missed the end of a canary. */
    private static boolean hasEnded(RolloutMessage.Status canary, RolloutMessage.Status latest) {
        if (canary.build() == latest.build()) {
            return false;
        }
        return latest.activeBuilds() != null
                ? !latest.activeBuilds().contains(canary.build())
                : canary.build() < latest.build();
    }

    private Event translate(RolloutMessage.Statistics statistics, long arrivedAtTicks) {
        return new Event.BuildStatistics(
                statistics.build(),
                statistics.route(),
                statistics.attempts(),
                statistics.errors(),
                (long) (statistics.meanMillis() * Ticks.PER_MILLISECOND),
                ageTicks(statistics.ageMillis(), arrivedAtTicks));
    }

    /** The event of a vote that has ended. */
    Event translate(int build, VoteResponse response, long arrivedAtTicks) {
        RolloutMessage.Status rollout = response.rollout();
        if (rollout != null) {
            return update(response.status(), rollout, arrivedAtTicks, true);
        }
        boolean isIncomplete = response.status() == ControlStatus.OK;
        return RolloutUpdates.voteAnswered(isIncomplete ? ControlStatus.FAILED : response.status(), build);
    }

    private Event.RolloutUpdate update(
            ControlStatus status, RolloutMessage.Status rollout, long arrivedAtTicks, boolean answersVote) {
        if (status == ControlStatus.OK) {
            if (rollout.phase() == RolloutPhase.CANARY) {
                canaries.put(rollout.build(), rollout);
            } else {
                canaries.remove(rollout.build());
            }
            recorder.recordRollout(rollout, arrivedAtTicks);
        }
        return new Event.RolloutUpdate(
                status,
                rollout.stage(),
                rollout.exposureCap(),
                ageTicks(rollout.ageMillis(), arrivedAtTicks),
                rollout.phase(),
                rollout.build(),
                answersVote);
    }

    /** The age now: it has grown since the message arrived, however long the event loop took to get to it. */
    private long ageTicks(double ageMillis, long arrivedAtTicks) {
        long ageAtArrival = Math.max(0, (long) Math.floor(ageMillis * Ticks.PER_MILLISECOND));
        return ageAtArrival + Math.max(0, loop.nowTicks() - arrivedAtTicks);
    }
}

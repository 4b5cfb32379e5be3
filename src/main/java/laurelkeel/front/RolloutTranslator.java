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

/** Translates messages of the control service into events. Not thread-safe; used on the event loop's thread. */
final class RolloutTranslator {
    private final EventLoop loop;
    private final ControlPlaneRecorder recorder;
    /** The last status of each canary by build, in the order in which the builds became canaries. */
    private final Map<Integer, RolloutMessage.Status> canaries = new LinkedHashMap<>();

    RolloutTranslator(EventLoop loop, ControlPlaneRecorder recorder) {
        this.loop = loop;
        this.recorder = recorder;
    }

    /** Translates a message; the ends of rollouts that it implies precede its own event. */
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

    /**
     * Returns whether a message implies that a canary has ended, since an interrupted watch may have missed the end.
     */
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

    /** Translates the result of a vote. */
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

    /** Returns the age at present, which includes the time that the message waited for the event loop. */
    private long ageTicks(double ageMillis, long arrivedAtTicks) {
        long ageAtArrival = Math.max(0, (long) Math.floor(ageMillis * Ticks.PER_MILLISECOND));
        return ageAtArrival + Math.max(0, loop.nowTicks() - arrivedAtTicks);
    }
}

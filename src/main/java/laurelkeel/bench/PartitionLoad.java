package laurelkeel.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import laurelkeel.api.Action;
import laurelkeel.api.Decider;
import laurelkeel.api.Event;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.LoadReport;
import laurelkeel.api.Ticks;

/** One node's decider under constant load with a given number of concurrent rollouts. Not thread-safe. */
final class PartitionLoad {
    private static final int BASELINE_BUILD = 1;
    private static final int FIRST_CANARY_BUILD = 2;
    private static final int PARTITION_KEYS = 20_000;
    private static final long STEP_TICKS = 10;
    private static final long RESULT_DELAY_TICKS = 5;
    private static final long ATTEMPT_DURATION_TICKS = 80;
    private static final long TIMEOUT_TICKS = 2500 * Ticks.PER_MILLISECOND;

    private final Decider decider;
    private final SplittableRandom random = new SplittableRandom(1);
    private long nowTicks = 36_000_000;
    private long nextId;

    PartitionLoad(Decider.Factory deciders, int endpoints, int rollouts) {
        decider = deciders.create(DeciderSettings.forPartitions(), 1);
        List<Event> events = new ArrayList<>();
        events.add(new Event.EndpointListUpdate(Event.EndpointListKind.CACHED, entries(endpoints, rollouts)));
        events.add(rollout(BASELINE_BUILD, 1, RolloutPhase.RELEASED));
        for (int i = 0; i < rollouts; i++) {
            events.add(rollout(FIRST_CANARY_BUILD + i, 0.1, RolloutPhase.CANARY));
        }
        decider.decide(nowTicks, events);
    }

    /** Returns endpoints of which a tenth runs each canary build. */
    private static List<EndpointEntry> entries(int endpoints, int rollouts) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < endpoints; i++) {
            int build = i % 10 < rollouts ? FIRST_CANARY_BUILD + i % 10 : BASELINE_BUILD;
            entries.add(new EndpointEntry("m" + i, build, 0, 0, 0, 1, EndpointState.ACTIVE, 0));
        }
        return entries;
    }

    private static Event.RolloutUpdate rollout(int build, double exposureCap, RolloutPhase phase) {
        return new Event.RolloutUpdate(Event.ControlStatus.OK, 0, exposureCap, 0, phase, build, false);
    }

    /**
     * Sends requests one after another, each answered before the next, and returns the nanoseconds for each request.
     */
    double run(int requests) {
        long startedNanos = System.nanoTime();
        for (int i = 0; i < requests; i++) {
            nowTicks += STEP_TICKS;
            String requestId = "r" + nextId++;
            String partitionKey = "k" + random.nextInt(PARTITION_KEYS);
            List<Event> received = new ArrayList<>(List.of(
                    new Event.RequestReceived(requestId, 0, 0, partitionKey, nowTicks + TIMEOUT_TICKS, 0, false)));
            decider.decide(nowTicks + RESULT_DELAY_TICKS, resultingEvents(decider.decide(nowTicks, received)));
        }
        return (System.nanoTime() - startedNanos) / (double) requests;
    }

    /** Returns the events that complete all attempts and fire all timers of the given actions. */
    private static List<Event> resultingEvents(List<Action> actions) {
        List<Event> events = new ArrayList<>();
        for (Action action : actions) {
            if (action instanceof Action.SendAttempt send) {
                events.add(new Event.AttemptEnded(
                        send.requestId(),
                        0,
                        send.endpointId(),
                        AttemptOutcome.COMPLETED,
                        ATTEMPT_DURATION_TICKS,
                        true,
                        LoadReport.NONE));
            } else if (action instanceof Action.StartTimer timer) {
                events.add(new Event.TimerFired(timer.timerId()));
            }
        }
        return events;
    }
}

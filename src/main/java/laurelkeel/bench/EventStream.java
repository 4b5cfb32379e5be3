package laurelkeel.bench;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.zip.CRC32;
import laurelkeel.api.Action;
import laurelkeel.api.Decider;
import laurelkeel.api.Event;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.LoadReport;
import laurelkeel.api.Settings;
import laurelkeel.api.Ticks;
import laurelkeel.bench.StreamRequests.SentAttempt;
import org.jspecify.annotations.Nullable;

/**
 * A generated environment for one decider: requests, outcomes of attempts, endpoint lists, a rollout and endpoint
 * faults, all from one seed and a simple model of endpoints. The same seed and the same actions give the same events.
 * All actions are included in a checksum. Not thread-safe.
 */
final class EventStream {
    private static final long SECOND = Ticks.PER_SECOND;
    private static final int CANARY_BUILD = 2;
    private static final double FAILING_SHARE = 0.3;
    private static final double SLOWDOWN = 1.3;
    private static final long VOTE_REPLY_TICKS = 30;
    private static final long FAST_FAILURE_TICKS = 20;
    private static final int FAULTS = 12;
    private static final int FAULT_KINDS = 4;
    private static final int MIN_ACTIVE_ENDPOINTS = 4;

    private final SplittableRandom random;
    private final Decider decider;
    private final Settings settings;
    private final StreamEndpoints endpoints;
    private final StreamRequests requests = new StreamRequests();
    private final EventSchedule schedule = new EventSchedule();
    private final CRC32 checksum = new CRC32();
    private final double meanIntervalTicks;
    private final int endpointCount;
    private List<Event> nextEvents = new ArrayList<>();
    private long nowTicks = SECOND;
    /** Number in the id of the next request or added endpoint. */
    private long nextId;

    private long actionCount;
    private Rollout rollout = new Rollout(1, 0, 1, RolloutPhase.RELEASED, 0);

    /**
     * The state of the newest build's rollout.
     *
     * @param failingShare share of the build's attempts that fail, from 0 to 1
     */
    private record Rollout(int build, int stage, double exposureCap, RolloutPhase phase, double failingShare) {
        Event.RolloutUpdate update(boolean answersVote) {
            return new Event.RolloutUpdate(Event.ControlStatus.OK, stage, exposureCap, 0, phase, build, answersVote);
        }
    }

    /** @param requestsPerSecond mean request rate of the decider's node */
    EventStream(
            Decider.Factory deciders,
            long seed,
            int endpointCount,
            double requestsPerSecond,
            boolean exposurePerRoute) {
        this.random = new SplittableRandom(seed);
        this.endpointCount = endpointCount;
        this.meanIntervalTicks = SECOND / requestsPerSecond;
        this.settings = DeciderSettings.forStreams(exposurePerRoute);
        this.decider = deciders.create(settings, seed);
        this.endpoints = new StreamEndpoints(endpointCount, random);
        nextEvents.add(new Event.EndpointListUpdate(Event.EndpointListKind.CACHED, endpoints.entries()));
        nextEvents.add(rollout.update(false));
        schedule(nowTicks + 1, this::receiveRequest);
    }

    private void schedule(long dueAtTicks, Runnable task) {
        schedule.add(Math.max(dueAtTicks, nowTicks + 1), task);
    }

    /** Continues the stream for the given number of seconds. */
    void run(double seconds) {
        long endTicks = nowTicks + (long) (seconds * SECOND);
        while (nowTicks < endTicks) {
            schedule.runUntil(nowTicks);
            if (!nextEvents.isEmpty()) {
                decide();
            }
            nowTicks = nextEvents.isEmpty() ? Math.max(nowTicks + 1, schedule.nextDueAtTicks()) : nowTicks + 1;
        }
    }

    private void decide() {
        List<Event> events = nextEvents;
        nextEvents = new ArrayList<>();
        for (Action action : decider.decide(nowTicks, events)) {
            actionCount++;
            String line = nowTicks + " " + RecordedActionFormat.format(action) + "\n";
            checksum.update(line.getBytes(StandardCharsets.UTF_8));
            execute(action);
        }
    }

    /**
     * Returns the number of all actions so far and a checksum of their recorded forms, each preceded by the time of the
     * action.
     */
    String checksum() {
        return actionCount + " actions " + Long.toHexString(checksum.getValue());
    }

    private void receiveRequest() {
        double interval = -Math.log(1 - random.nextDouble()) * meanIntervalTicks;
        schedule(nowTicks + (long) Math.max(1, interval), this::receiveRequest);
        String requestId = "r" + nextId++;
        String partitionKey = randomPartitionKey();
        int route = random.nextInt(settings.routes().size());
        long timeoutTicks = settings.routes().get(route).timeoutTicks() * (40 + random.nextInt(61)) / 100;
        long deadlineTicks = nowTicks + timeoutTicks;
        requests.received(requestId, deadlineTicks);
        boolean clientRetry = random.nextInt(20) == 0;
        nextEvents.add(new Event.RequestReceived(requestId, route, 0, partitionKey, deadlineTicks, 0, clientRetry));
        if (random.nextInt(50) == 0) {
            schedule(nowTicks + random.nextInt(3000), () -> disconnect(requestId));
        }
    }

    private @Nullable String randomPartitionKey() {
        return random.nextInt(10) == 0 ? null : "k" + (int) (Math.pow(random.nextDouble(), 2) * 2000);
    }

    private void disconnect(String requestId) {
        if (requests.end(requestId)) {
            nextEvents.add(new Event.ClientDisconnected(requestId));
        }
    }

    private void execute(Action action) {
        if (action instanceof Action.SendAttempt send) {
            send(send);
        } else if (action instanceof Action.CancelAttempt cancel) {
            SentAttempt attempt = requests.inFlight(cancel.requestId(), cancel.attempt());
            if (attempt != null) {
                endAttempt(attempt, AttemptOutcome.CANCELLED);
            }
        } else if (action instanceof Action.RejectRequest reject) {
            requests.end(reject.requestId());
        } else if (action instanceof Action.FailRequest fail) {
            requests.end(fail.requestId());
        } else if (action instanceof Action.StartTimer timer) {
            schedule(timer.dueAtTicks(), () -> nextEvents.add(new Event.TimerFired(timer.timerId())));
        } else if (action instanceof Action.CastVote) {
            schedule(nowTicks + VOTE_REPLY_TICKS, () -> nextEvents.add(rollout.update(true)));
        }
    }

    private void send(Action.SendAttempt send) {
        EndpointEntry endpoint = endpoints.find(send.endpointId());
        boolean faulty = endpoint != null && endpoint.build() == rollout.build && rollout.failingShare > 0;
        AttemptOutcome outcome = randomOutcome(endpoint, faulty);
        long durationTicks = outcome == AttemptOutcome.OVERLOADED || outcome == AttemptOutcome.CONNECT_FAILED
                ? FAST_FAILURE_TICKS
                : randomDurationTicks(faulty);
        long timeoutTicks = send.timeoutTicks() <= 0 ? Long.MAX_VALUE : send.timeoutTicks();
        if (outcome == AttemptOutcome.TIMED_OUT || durationTicks > timeoutTicks) {
            outcome = AttemptOutcome.TIMED_OUT;
            durationTicks = Math.min(timeoutTicks, requests.deadlineTicks(send.requestId(), nowTicks) - nowTicks);
        }
        SentAttempt attempt = requests.sent(send.requestId(), send.endpointId(), nowTicks);
        AttemptOutcome finalOutcome = outcome;
        schedule(nowTicks + Math.max(1, durationTicks), () -> endAttempt(attempt, finalOutcome));
    }

    private AttemptOutcome randomOutcome(@Nullable EndpointEntry endpoint, boolean faulty) {
        double sample = random.nextDouble();
        if (endpoint == null || endpoint.state() == EndpointState.REMOVED) {
            return AttemptOutcome.CONNECT_FAILED;
        }
        if (faulty && sample < rollout.failingShare) {
            return AttemptOutcome.FAILED;
        }
        if (sample > 0.995) {
            return AttemptOutcome.CONNECTION_LOST;
        }
        if (sample > 0.985) {
            return AttemptOutcome.OVERLOADED;
        }
        return sample > 0.975 ? AttemptOutcome.TIMED_OUT : AttemptOutcome.COMPLETED;
    }

    private long randomDurationTicks(boolean faulty) {
        return (long) ((60 + random.nextInt(120)) * Ticks.PER_MILLISECOND * (faulty ? SLOWDOWN : 1));
    }

    private void endAttempt(SentAttempt attempt, AttemptOutcome outcome) {
        if (!requests.attemptEnded(attempt)) {
            return;
        }
        if (outcome == AttemptOutcome.COMPLETED) {
            requests.end(attempt.requestId());
        }
        LoadReport load = random.nextInt(3) == 0
                ? new LoadReport(Map.of("concurrent", (double) random.nextInt(8)))
                : LoadReport.NONE;
        nextEvents.add(new Event.AttemptEnded(
                attempt.requestId(),
                attempt.number(),
                attempt.endpointId(),
                outcome,
                nowTicks - attempt.sentAtTicks(),
                !requests.isOpen(attempt.requestId()),
                load));
    }

    /**
     * Schedules a rollout and, independent of it, endpoint faults over about 40 s.
     *
     * @param bad whether the new build fails and is rolled back
     */
    void scheduleRollout(boolean bad) {
        double failing = bad ? FAILING_SHARE : 0;
        Rollout firstStage = new Rollout(CANARY_BUILD, 0, 0.1, RolloutPhase.CANARY, failing);
        Rollout secondStage = new Rollout(CANARY_BUILD, 1, 0.4, RolloutPhase.CANARY, failing);
        Rollout decided = bad
                ? new Rollout(CANARY_BUILD, 1, 0, RolloutPhase.ROLLING_BACK, 0)
                : new Rollout(CANARY_BUILD, 2, 1, RolloutPhase.CANARY, 0);
        Rollout ended = bad
                ? new Rollout(CANARY_BUILD, 2, 0, RolloutPhase.ROLLED_BACK, 0)
                : new Rollout(CANARY_BUILD, 2, 1, RolloutPhase.RELEASED, 0);
        schedule(nowTicks + 3 * SECOND, () -> applyRollout(firstStage, endpointCount / 10 + 1));
        schedule(nowTicks + 12 * SECOND, () -> applyRollout(secondStage, endpointCount * 4 / 10));
        schedule(nowTicks + 20 * SECOND, () -> applyRollout(decided, bad ? 0 : endpointCount));
        schedule(nowTicks + 28 * SECOND, () -> applyRollout(ended, 0));
        for (int i = 0; i < FAULTS; i++) {
            schedule(nowTicks + (2 + i * 3) * SECOND, () -> injectFault(random.nextInt(FAULT_KINDS)));
        }
    }

    /**
     * Applies the next state of the rollout and replaces endpoints.
     *
     * @param replaced number of endpoints of earlier builds that drain and are each replaced by one with the new build
     */
    private void applyRollout(Rollout next, int replaced) {
        rollout = next;
        nextEvents.add(next.update(false));
        List<EndpointEntry> changes = new ArrayList<>();
        for (EndpointEntry endpoint : endpoints.entries()) {
            boolean isReplaced = changes.size() / 2 < replaced
                    && endpoint.build() < next.build
                    && endpoint.state() == EndpointState.ACTIVE;
            if (isReplaced) {
                String endpointId = "10.9." + nextId / 250 % 250 + "." + nextId++ % 250 + ":80";
                changes.add(StreamEndpoints.replacement(endpoint, endpointId, next.build, nowTicks));
                changes.add(endpoint.withState(EndpointState.DRAINING));
            }
        }
        updateEndpoints(changes);
    }

    private void injectFault(int kind) {
        List<EndpointEntry> active = endpoints.activeEntries();
        if (active.size() < MIN_ACTIVE_ENDPOINTS) {
            return;
        }
        EndpointEntry endpoint = active.get(random.nextInt(active.size()));
        switch (kind) {
            case 0 -> updateEndpoints(List.of(endpoint.withState(EndpointState.REMOVED)));
            case 1 ->
                updateEndpoints(List.of(
                        StreamEndpoints.replacement(endpoint, endpoint.endpointId(), endpoint.build(), nowTicks)));
            case 2 ->
                nextEvents.add(new Event.ComplaintReceived(
                        endpoint.endpointId(),
                        500,
                        random.nextInt(settings.routes().size())));
            default ->
                nextEvents.add(new Event.EndpointListUpdate(Event.EndpointListKind.SNAPSHOT, endpoints.entries()));
        }
    }

    private void updateEndpoints(List<EndpointEntry> changes) {
        endpoints.update(changes);
        nextEvents.add(new Event.EndpointListUpdate(Event.EndpointListKind.DELTA, List.copyOf(changes)));
    }
}

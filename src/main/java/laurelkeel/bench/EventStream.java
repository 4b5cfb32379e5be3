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
 * A generated world for one decider: requests, outcomes, endpoint lists, a rollout and faults from one seed, answered by a
 * plain model of endpoints. The same seed and the same actions give the same stream; every action goes into a checksum.
 * Not thread-safe.
 */
final class EventStream {
    private static final long SECOND = Ticks.PER_SECOND;
    private static final int NEW_BUILD = 2;
    private static final double FAILING_SHARE = 0.3;
    private static final double SLOWDOWN = 1.3;
    private static final long VOTE_ANSWER_TICKS = 30;
    private static final long FAST_FAILURE_TICKS = 20;
    private static final int FAULTS = 12;
    private static final int FAULT_KINDS = 4;
    private static final int MIN_ACTIVE_ENDPOINTS = 4;

    private final SplittableRandom random;
    private final Decider decider;
    private final Settings settings;
    private final StreamFleet fleet;
    private final StreamRequests requests = new StreamRequests();
    private final EventSchedule schedule = new EventSchedule();
    private final CRC32 checksum = new CRC32();
    private final double meanIntervalTicks;
    private final int endpointCount;
    private List<Event> nextEvents = new ArrayList<>();
    private long nowTicks = SECOND;
    /** Numbers requests and endpoints that are added. */
    private long nextId;

    private long actions;
    private Rollout rollout = new Rollout(1, 0, 1, RolloutPhase.RELEASED, 0);

    /**
     * Where the newest build stands.
     *
     * @param failingShare of the attempts that it gets, the share that fails
     */
    private record Rollout(int build, int stage, double exposureCap, RolloutPhase phase, double failingShare) {
        Event.RolloutUpdate update(boolean answersVote) {
            return new Event.RolloutUpdate(Event.ControlStatus.OK, stage, exposureCap, 0, phase, build, answersVote);
        }
    }

    /** @param requestsPerSecond of this one node */
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
        this.fleet = new StreamFleet(endpointCount, random);
        nextEvents.add(new Event.EndpointListUpdate(Event.EndpointListKind.CACHED, fleet.entries()));
        nextEvents.add(rollout.update(false));
        schedule(nowTicks + 1, this::receiveRequest);
    }

    private void schedule(long atTicks, Runnable work) {
        schedule.add(Math.max(atTicks, nowTicks + 1), work);
    }

    /** Plays on for so many seconds. */
    void play(double seconds) {
        long endTicks = nowTicks + (long) (seconds * SECOND);
        while (nowTicks < endTicks) {
            schedule.runUntil(nowTicks);
            if (!nextEvents.isEmpty()) {
                decide();
            }
            nowTicks = nextEvents.isEmpty() ? Math.max(nowTicks + 1, schedule.nextAtTicks()) : nowTicks + 1;
        }
    }

    private void decide() {
        List<Event> events = nextEvents;
        nextEvents = new ArrayList<>();
        for (Action action : decider.decide(nowTicks, events)) {
            actions++;
            String line = nowTicks + " " + RecordedActionFormat.format(action) + "\n";
            checksum.update(line.getBytes(StandardCharsets.UTF_8));
            carryOut(action);
        }
    }

    /** The number and the checksum of all actions so far, each with its moment. */
    String checksum() {
        return actions + " actions " + Long.toHexString(checksum.getValue());
    }

    // ---- requests and attempts

    private void receiveRequest() {
        double interval = -Math.log(1 - random.nextDouble()) * meanIntervalTicks;
        schedule(nowTicks + (long) Math.max(1, interval), this::receiveRequest);
        String requestId = "r" + nextId++;
        String partitionKey = drawPartitionKey();
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

    private @Nullable String drawPartitionKey() {
        return random.nextInt(10) == 0 ? null : "k" + (int) (Math.pow(random.nextDouble(), 2) * 2000);
    }

    private void disconnect(String requestId) {
        if (requests.end(requestId)) {
            nextEvents.add(new Event.ClientDisconnected(requestId));
        }
    }

    private void carryOut(Action action) {
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
            schedule(nowTicks + VOTE_ANSWER_TICKS, () -> nextEvents.add(rollout.update(true)));
        }
    }

    private void send(Action.SendAttempt send) {
        EndpointEntry endpoint = fleet.find(send.endpointId());
        boolean faulty = endpoint != null && endpoint.build() == rollout.build && rollout.failingShare > 0;
        AttemptOutcome outcome = drawOutcome(endpoint, faulty);
        long durationTicks = outcome == AttemptOutcome.OVERLOADED || outcome == AttemptOutcome.CONNECT_FAILED
                ? FAST_FAILURE_TICKS
                : drawDurationTicks(faulty);
        long timeoutTicks = send.timeoutTicks() <= 0 ? Long.MAX_VALUE : send.timeoutTicks();
        if (outcome == AttemptOutcome.TIMED_OUT || durationTicks > timeoutTicks) {
            outcome = AttemptOutcome.TIMED_OUT;
            durationTicks = Math.min(timeoutTicks, requests.deadlineTicks(send.requestId(), nowTicks) - nowTicks);
        }
        SentAttempt attempt = requests.sent(send.requestId(), send.endpointId(), nowTicks);
        AttemptOutcome finalOutcome = outcome;
        schedule(nowTicks + Math.max(1, durationTicks), () -> endAttempt(attempt, finalOutcome));
    }

    private AttemptOutcome drawOutcome(@Nullable EndpointEntry endpoint, boolean faulty) {
        double drawn = random.nextDouble();
        if (endpoint == null || endpoint.state() == EndpointState.REMOVED) {
            return AttemptOutcome.CONNECT_FAILED;
        }
        if (faulty && drawn < rollout.failingShare) {
            return AttemptOutcome.FAILED;
        }
        if (drawn > 0.995) {
            return AttemptOutcome.CONNECTION_LOST;
        }
        if (drawn > 0.985) {
            return AttemptOutcome.OVERLOADED;
        }
        return drawn > 0.975 ? AttemptOutcome.TIMED_OUT : AttemptOutcome.COMPLETED;
    }

    private long drawDurationTicks(boolean faulty) {
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

    // ---- rollout and faults

    /** Schedules a rollout and faults beside it, over about 40 s. */
    void scheduleRollout(boolean bad) {
        double failing = bad ? FAILING_SHARE : 0;
        Rollout firstStage = new Rollout(NEW_BUILD, 0, 0.1, RolloutPhase.CANARY, failing);
        Rollout secondStage = new Rollout(NEW_BUILD, 1, 0.4, RolloutPhase.CANARY, failing);
        Rollout decided = bad
                ? new Rollout(NEW_BUILD, 1, 0, RolloutPhase.ROLLING_BACK, 0)
                : new Rollout(NEW_BUILD, 2, 1, RolloutPhase.CANARY, 0);
        Rollout ended = bad
                ? new Rollout(NEW_BUILD, 2, 0, RolloutPhase.ROLLED_BACK, 0)
                : new Rollout(NEW_BUILD, 2, 1, RolloutPhase.RELEASED, 0);
        schedule(nowTicks + 3 * SECOND, () -> enter(firstStage, endpointCount / 10 + 1));
        schedule(nowTicks + 12 * SECOND, () -> enter(secondStage, endpointCount * 4 / 10));
        schedule(nowTicks + 20 * SECOND, () -> enter(decided, bad ? 0 : endpointCount));
        schedule(nowTicks + 28 * SECOND, () -> enter(ended, 0));
        for (int i = 0; i < FAULTS; i++) {
            schedule(nowTicks + (2 + i * 3) * SECOND, () -> fault(random.nextInt(FAULT_KINDS)));
        }
    }

    /** @param replaced how many endpoints of earlier builds drain, with a new one for each */
    private void enter(Rollout next, int replaced) {
        rollout = next;
        nextEvents.add(next.update(false));
        List<EndpointEntry> changes = new ArrayList<>();
        for (EndpointEntry endpoint : fleet.entries()) {
            boolean isReplaced = changes.size() / 2 < replaced
                    && endpoint.build() < next.build
                    && endpoint.state() == EndpointState.ACTIVE;
            if (isReplaced) {
                String endpointId = "10.9." + nextId / 250 % 250 + "." + nextId++ % 250 + ":80";
                changes.add(StreamFleet.replacement(endpoint, endpointId, next.build, nowTicks));
                changes.add(StreamFleet.withState(endpoint, EndpointState.DRAINING));
            }
        }
        change(changes);
    }

    private void fault(int kind) {
        List<EndpointEntry> active = fleet.activeEntries();
        if (active.size() < MIN_ACTIVE_ENDPOINTS) {
            return;
        }
        EndpointEntry endpoint = active.get(random.nextInt(active.size()));
        switch (kind) {
            case 0 -> change(List.of(StreamFleet.withState(endpoint, EndpointState.REMOVED)));
            case 1 ->
                change(List.of(StreamFleet.replacement(endpoint, endpoint.endpointId(), endpoint.build(), nowTicks)));
            case 2 ->
                nextEvents.add(new Event.ComplaintReceived(
                        endpoint.endpointId(),
                        500,
                        random.nextInt(settings.routes().size())));
            default -> nextEvents.add(new Event.EndpointListUpdate(Event.EndpointListKind.SNAPSHOT, fleet.entries()));
        }
    }

    private void change(List<EndpointEntry> changes) {
        fleet.update(changes);
        nextEvents.add(new Event.EndpointListUpdate(Event.EndpointListKind.DELTA, List.copyOf(changes)));
    }
}

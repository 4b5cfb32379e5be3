package laurelkeel.partition;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import laurelkeel.api.Action;
import laurelkeel.api.Event;
import laurelkeel.api.Event.AttemptEnded;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.api.Event.RequestReceived;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.Event.RolloutUpdate;
import laurelkeel.api.LoadReport;
import laurelkeel.api.Settings;
import laurelkeel.api.Settings.DeduplicationScope;
import laurelkeel.api.Settings.Idempotency;
import laurelkeel.api.Ticks;
import laurelkeel.decision.RoutingDecider;

/**
 * Simulates one node with several rollouts: its endpoints, the control service and the clients, generated from one
 * seed. Every attempt that is sent is checked against the rules that apply to every rollout; {@link #violations}
 * describes each violation.
 */
final class RolloutSimulation {
    static final long MILLISECOND = Ticks.PER_MILLISECOND;
    static final long SECOND = Ticks.PER_SECOND;
    static final long EXPOSURE_WINDOW_TICKS = 4 * SECOND;
    private static final double EXPOSURE_ALLOWANCE = 2;
    /** The lowest build number. This build is released initially, and its endpoints started long ago. */
    private static final int FIRST_BUILD = 1;

    private static final int FAILING_BUILD = 2;

    final PartitionedDecider decider;
    final List<String> violations = new ArrayList<>();
    final List<Action.CastVote> votes = new ArrayList<>();
    final Map<Integer, Integer> attemptsByBuild = new TreeMap<>();
    final Map<String, Integer> attemptsByEndpoint = new HashMap<>();
    long nowTicks = 3_600 * SECOND;
    /** Share of the attempts at {@link #FAILING_BUILD} that fail. */
    double failureShare;
    /** Share of the attempts that the endpoint answers, but whose answer does not reach the node. */
    double lostAnswerShare;

    private final Settings settings;
    private final Random random;
    private final Map<String, EndpointEntry> endpoints = new HashMap<>();
    private final TreeMap<Integer, RolloutUpdate> rollouts = new TreeMap<>();
    private final Map<Integer, List<ArrayDeque<Long>>> attemptTimes = new HashMap<>();
    private final List<ArrayDeque<Long>> requestTimes = new ArrayList<>();
    private final Map<String, Integer> latestBuildByKey = new HashMap<>();
    private final Map<String, RequestReceived> requests = new HashMap<>();
    private final Map<String, Integer> attemptCountByRequest = new HashMap<>();
    private final Set<String> answeredRequests = new HashSet<>();
    private final TreeMap<Long, List<Event>> dueEvents = new TreeMap<>();
    private int requestCount;

    RolloutSimulation(Settings settings, long seed) {
        this.settings = settings;
        this.random = new Random(seed);
        this.decider = new PartitionedDecider(settings, seed, RoutingDecider::new);
        for (int i = 0; i < settings.routes().size(); i++) {
            requestTimes.add(new ArrayDeque<>());
        }
    }

    /** Returns settings with an idempotent and a non-idempotent route, in which a single vote is sufficient. */
    static Settings settings(boolean exposurePerRoute, int guardedStages) {
        return new Settings(
                0,
                2,
                0,
                List.of(
                        new Settings.Route(
                                Idempotency.IDEMPOTENT,
                                DeduplicationScope.ALL,
                                800 * MILLISECOND,
                                2500 * MILLISECOND,
                                2,
                                0,
                                0),
                        new Settings.Route(
                                Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL, SECOND, 3 * SECOND, 1, 0, 0)),
                List.of(),
                new Settings.Limits(SECOND, 5 * SECOND, 0.4, 2 * SECOND, 3, 10 * SECOND),
                new Settings.Capabilities(4, true, false, true, true, SECOND, false),
                new Settings.Costs(0, 0.01, 0.01, 0.5, 3),
                new Settings.Rollout(
                        Settings.PromotionPolicy.VOTE_COUNT,
                        1,
                        1,
                        0,
                        5 * SECOND,
                        SECOND,
                        40,
                        List.of(0.1, 0.4, 1.0),
                        2 * SECOND,
                        guardedStages,
                        true,
                        EXPOSURE_WINDOW_TICKS,
                        EXPOSURE_ALLOWANCE,
                        exposurePerRoute,
                        0,
                        0.3),
                false);
    }

    /** Creates a simulation in which the first build is released and has served requests on 8 endpoints. */
    static RolloutSimulation started(boolean exposurePerRoute, int guardedStages, long seed) {
        RolloutSimulation simulation = new RolloutSimulation(settings(exposurePerRoute, guardedStages), seed);
        simulation.addEndpoints(FIRST_BUILD, 8);
        simulation.updateRollout(FIRST_BUILD, 0, RolloutPhase.RELEASED);
        simulation.runTraffic(2 * SECOND, 5);
        return simulation;
    }

    /** Creates a simulation in which builds 2 and 3 have just become canaries. */
    static RolloutSimulation withTwoCanaries(long seed) {
        RolloutSimulation simulation = started(false, 0, seed);
        simulation.addEndpoints(2, 2);
        simulation.addEndpoints(3, 2);
        simulation.updateRollout(2, 0, RolloutPhase.CANARY);
        simulation.updateRollout(3, 0, RolloutPhase.CANARY);
        return simulation;
    }

    int attemptsAt(int build) {
        return attemptsByBuild.getOrDefault(build, 0);
    }

    void addEndpoints(int build, int count) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            long startedAtTicks = build == FIRST_BUILD ? 0 : nowTicks;
            entries.add(
                    new EndpointEntry("b" + build + "." + i, build, 0, 0, 0, 1, EndpointState.ACTIVE, startedAtTicks));
        }
        updateEndpoints(entries);
    }

    void removeEndpoints(int build) {
        List<EndpointEntry> removed = new ArrayList<>();
        for (EndpointEntry entry : endpoints.values()) {
            if (entry.build() == build) {
                removed.add(new EndpointEntry(
                        entry.endpointId(), build, 0, 0, 0, 1, EndpointState.REMOVED, entry.startedAtTicks()));
            }
        }
        updateEndpoints(removed);
    }

    void updateEndpoints(List<EndpointEntry> entries) {
        for (EndpointEntry entry : entries) {
            if (entry.state() == EndpointState.REMOVED) {
                endpoints.remove(entry.endpointId());
            } else {
                endpoints.put(entry.endpointId(), entry);
            }
        }
        decide(List.of(new Event.EndpointListUpdate(EndpointListKind.DELTA, entries)));
    }

    void updateRollout(int build, int stage, RolloutPhase phase) {
        RolloutUpdate update = rolloutUpdate(build, stage, phase, false);
        rollouts.put(build, update);
        if (phase == RolloutPhase.RELEASED) {
            rollouts.headMap(build).clear();
        }
        if (phase != RolloutPhase.CANARY && phase != RolloutPhase.RELEASED) {
            latestBuildByKey.values().removeIf(latest -> latest == build);
        }
        decide(List.of(update));
    }

    private RolloutUpdate rolloutUpdate(int build, int stage, RolloutPhase phase, boolean answersVote) {
        double cap =
                switch (phase) {
                    case RELEASED -> 1;
                    case CANARY -> settings.rollout().stageExposureCaps().get(stage);
                    case ROLLING_BACK, ROLLED_BACK -> 0;
                };
        return new RolloutUpdate(ControlStatus.OK, stage, cap, 0, phase, build, answersVote);
    }

    /** Sends requests at a fixed interval; a few of their keys are frequent. */
    void runTraffic(long spanTicks, int intervalMillis) {
        long endTicks = nowTicks + spanTicks;
        while (nowTicks < endTicks) {
            nowTicks += intervalMillis * MILLISECOND;
            List<Event> events = new ArrayList<>();
            while (!dueEvents.isEmpty() && dueEvents.firstKey() <= nowTicks) {
                events.addAll(dueEvents.pollFirstEntry().getValue());
            }
            events.add(nextRequest());
            decide(events);
        }
    }

    private RequestReceived nextRequest() {
        String key = random.nextInt(8) == 0 ? null : "k" + (int) Math.pow(200, random.nextDouble());
        int route = random.nextInt(settings.routes().size());
        RequestReceived request = new RequestReceived(
                "r" + requestCount,
                route,
                0,
                key,
                nowTicks + settings.routes().get(route).timeoutTicks(),
                0,
                false);
        requestCount++;
        requests.put(request.requestId(), request);
        requestTimes.get(scopeOf(route)).addLast(nowTicks);
        return request;
    }

    private int scopeOf(int route) {
        return settings.rollout().exposurePerRoute() ? route : 0;
    }

    private void decide(List<Event> events) {
        for (Event event : events) {
            if (event instanceof AttemptEnded ended) {
                onAttemptEnded(ended);
            }
        }
        for (Action action : decider.decide(nowTicks, events)) {
            perform(action);
        }
    }

    private void onAttemptEnded(AttemptEnded ended) {
        if (ended.outcome() == AttemptOutcome.COMPLETED) {
            onAnswered(ended.requestId());
            bindKey(ended);
        } else if (ended.outcome() == AttemptOutcome.CONNECTION_LOST) {
            bindKey(ended);
        }
    }

    private void onAnswered(String requestId) {
        if (!answeredRequests.add(requestId)) {
            addViolation(requestId + " answered twice");
        }
    }

    private void bindKey(AttemptEnded ended) {
        String key = requests.get(ended.requestId()).partitionKey();
        int build = Integer.parseInt(
                ended.endpointId().substring(1, ended.endpointId().indexOf('.')));
        RolloutUpdate rollout = rollouts.get(build);
        boolean binds = build > FIRST_BUILD
                && rollout != null
                && (rollout.phase() == RolloutPhase.CANARY || rollout.phase() == RolloutPhase.RELEASED);
        if (key != null && binds) {
            latestBuildByKey.merge(key, build, Math::max);
        }
    }

    private void addViolation(String description) {
        violations.add(nowTicks + ": " + description);
    }

    private void perform(Action action) {
        if (action instanceof Action.SendAttempt send) {
            onSent(send);
        } else if (action instanceof Action.RejectRequest reject) {
            onAnswered(reject.requestId());
        } else if (action instanceof Action.FailRequest fail) {
            onAnswered(fail.requestId());
        } else if (action instanceof Action.CastVote vote) {
            votes.add(vote);
            RolloutUpdate rollout = rollouts.get(vote.build());
            // contains the rollout's state at the time of the vote, which may have changed when it arrives
            schedule(nowTicks + 50 * MILLISECOND, rolloutUpdate(vote.build(), rollout.stage(), rollout.phase(), true));
        } else if (action instanceof Action.StartTimer timer) {
            schedule(Math.max(nowTicks + 1, timer.dueAtTicks()), new Event.TimerFired(timer.timerId()));
        } else if (action instanceof Action.CancelAttempt cancel) {
            dueEvents.values().forEach(events -> events.removeIf(event -> isEndOf(cancel.requestId(), event)));
            schedule(
                    nowTicks + 1,
                    new AttemptEnded(
                            cancel.requestId(),
                            cancel.attempt(),
                            "b1.0",
                            AttemptOutcome.CANCELLED,
                            1,
                            true,
                            LoadReport.NONE));
        }
    }

    private static boolean isEndOf(String requestId, Event event) {
        return event instanceof AttemptEnded ended && ended.requestId().equals(requestId);
    }

    private void schedule(long dueAtTicks, Event event) {
        dueEvents.computeIfAbsent(dueAtTicks, unused -> new ArrayList<>()).add(event);
    }

    private void onSent(Action.SendAttempt send) {
        EndpointEntry endpoint = endpoints.get(send.endpointId());
        if (endpoint == null) {
            addViolation("sent to " + send.endpointId() + ", which is removed");
            return;
        }
        int build = endpoint.build();
        int attempt = attemptCountByRequest.merge(send.requestId(), 1, Integer::sum) - 1;
        attemptsByBuild.merge(build, 1, Integer::sum);
        attemptsByEndpoint.merge(send.endpointId(), 1, Integer::sum);
        checkAttempt(requests.get(send.requestId()), build);
        if (!decider.mayWrite(send.requestId(), attempt, nowTicks).isGranted()) {
            addViolation("refused as soon as it was sent: " + decider.mayWrite(send.requestId(), attempt, nowTicks));
        }
        AttemptOutcome outcome = randomOutcome(build);
        schedule(
                nowTicks + 8 * MILLISECOND + random.nextInt(100),
                new AttemptEnded(
                        send.requestId(),
                        attempt,
                        send.endpointId(),
                        outcome,
                        80,
                        outcome == AttemptOutcome.COMPLETED,
                        LoadReport.NONE));
    }

    private AttemptOutcome randomOutcome(int build) {
        if (random.nextDouble() < failureShare && build == FAILING_BUILD) {
            return AttemptOutcome.FAILED;
        }
        if (lostAnswerShare > 0 && random.nextDouble() < lostAnswerShare) {
            return AttemptOutcome.CONNECTION_LOST;
        }
        return AttemptOutcome.COMPLETED;
    }

    private void checkAttempt(RequestReceived request, int build) {
        if (answeredRequests.contains(request.requestId())) {
            addViolation("sent after its final answer");
        }
        Integer latestBuild = request.partitionKey() == null ? null : latestBuildByKey.get(request.partitionKey());
        if (latestBuild != null && build < latestBuild) {
            addViolation("key " + request.partitionKey() + " was served by build " + latestBuild + " and sent to build "
                    + build);
        }
        RolloutUpdate rollout = rollouts.get(build);
        if (rollout == null) {
            return;
        }
        switch (rollout.phase()) {
            case ROLLING_BACK, ROLLED_BACK -> addViolation("sent to build " + build + ", which is rolled back");
            case CANARY -> checkCanaryAttempt(request, rollout);
            case RELEASED -> {}
        }
    }

    private void checkCanaryAttempt(RequestReceived request, RolloutUpdate rollout) {
        checkExposure(rollout, scopeOf(request.route()));
        boolean isGuarded = rollout.stage() < settings.rollout().guardedStages();
        if (isGuarded && settings.routes().get(request.route()).idempotency() != Idempotency.IDEMPOTENT) {
            addViolation("a request that is not idempotent was sent to a canary in a guarded stage");
        }
    }

    private void checkExposure(RolloutUpdate rollout, int scope) {
        ArrayDeque<Long> attempts = attemptTimes
                .computeIfAbsent(rollout.build(), unused -> List.of(new ArrayDeque<>(), new ArrayDeque<>()))
                .get(scope);
        attempts.addLast(nowTicks);
        for (ArrayDeque<Long> times : List.of(attempts, requestTimes.get(scope))) {
            while (!times.isEmpty() && times.getFirst() <= nowTicks - EXPOSURE_WINDOW_TICKS) {
                times.removeFirst();
            }
        }
        double permitted = EXPOSURE_ALLOWANCE
                + rollout.exposureCap() * requestTimes.get(scope).size();
        if (attempts.size() > permitted) {
            addViolation("build " + rollout.build() + " has " + attempts.size() + " attempts, permitted: " + permitted);
        }
    }

    /**
     * Runs rollouts that begin, advance, are released and are rolled back in an order that the seed determines, up to
     * four at a time.
     */
    void runRandomRollouts(int seed) {
        Random rolloutRandom = new Random(seed);
        int nextBuild = FIRST_BUILD + 1;
        Map<Integer, Integer> stageByCanary = new TreeMap<>();
        for (int step = 0; step < 14; step++) {
            int operation = rolloutRandom.nextInt(6);
            if ((operation <= 1 && stageByCanary.size() < 4) || stageByCanary.isEmpty()) {
                startCanary(nextBuild, rolloutRandom);
                stageByCanary.put(nextBuild, 0);
                nextBuild++;
            } else {
                int build = List.copyOf(stageByCanary.keySet()).get(rolloutRandom.nextInt(stageByCanary.size()));
                int stage = stageByCanary.get(build);
                if (operation <= 3 && stage < 2) {
                    addEndpoints(build, 3 + 14 * stage);
                    updateRollout(build, stage + 1, RolloutPhase.CANARY);
                    stageByCanary.put(build, stage + 1);
                } else if (operation == 4 && stage == 2) {
                    release(build, stageByCanary);
                } else {
                    rollBack(build, stage);
                    stageByCanary.remove(build);
                }
            }
            runTraffic(SECOND + rolloutRandom.nextInt(30_000), 5 + rolloutRandom.nextInt(10));
        }
    }

    private void startCanary(int build, Random rolloutRandom) {
        addEndpoints(build, 1 + rolloutRandom.nextInt(3));
        if (rolloutRandom.nextBoolean()) {
            runTraffic(200 * MILLISECOND, 5);
        }
        updateRollout(build, 0, RolloutPhase.CANARY);
    }

    private void release(int build, Map<Integer, Integer> stageByCanary) {
        for (int other : List.copyOf(stageByCanary.keySet())) {
            if (other < build) {
                updateRollout(other, stageByCanary.get(other), RolloutPhase.ROLLING_BACK);
                removeEndpoints(other);
                stageByCanary.remove(other);
            }
        }
        updateRollout(build, 2, RolloutPhase.RELEASED);
        stageByCanary.remove(build);
    }

    private void rollBack(int build, int stage) {
        updateRollout(build, stage, RolloutPhase.ROLLING_BACK);
        runTraffic(SECOND / 2, 5);
        removeEndpoints(build);
        // endpoints of the first build replace the removed ones
        addEndpoints(FIRST_BUILD, 8);
        updateRollout(build, stage, RolloutPhase.ROLLED_BACK);
    }
}

package laurelkeel.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import laurelkeel.api.Action;
import laurelkeel.api.Decider;
import laurelkeel.api.Event;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.LoadReport;
import laurelkeel.api.Settings;
import laurelkeel.api.Settings.DeduplicationScope;
import laurelkeel.api.Settings.Idempotency;
import laurelkeel.api.Settings.Route;
import laurelkeel.api.Ticks;
import laurelkeel.api.WritePermission;
import laurelkeel.api.WritePermission.Refusal;
import laurelkeel.partition.PartitionedDecider;
import org.jspecify.annotations.Nullable;

/**
 * Passes events to a decider, executes its actions, and checks the rules that every decider must follow against an
 * independent, simple model.
 */
final class DecisionSimulation {
    static final long MILLISECOND = Ticks.PER_MILLISECOND;
    static final long SECOND = Ticks.PER_SECOND;

    private static final int RULE_ONE_ANSWER = 1;
    private static final int RULE_ONE_EFFECT = 2;
    private static final int RULE_DRAINING = 3;
    private static final int RULE_EXPOSURE = 5;

    /** One attempt in the model. */
    record SentAttempt(
            String requestId,
            int attempt,
            String endpointId,
            int build,
            int zone,
            long sentAtTicks,
            long timesOutAtTicks) {}

    private record Received(long atTicks, int route) {}

    final Settings settings;
    final Decider decider;
    final List<String> violations = new ArrayList<>();
    final List<Action> lastActions = new ArrayList<>();
    final Map<String, EndpointEntry> endpoints = new HashMap<>();
    final Map<String, Event.RequestReceived> unanswered = new HashMap<>();
    final List<SentAttempt> inFlight = new ArrayList<>();
    final List<SentAttempt> sent = new ArrayList<>();
    final List<Action.CastVote> votes = new ArrayList<>();
    /** Rejections and failures. */
    final List<Action> finalAnswers = new ArrayList<>();
    /** The last rollout update of each build that the decider received. */
    final TreeMap<Integer, Event.RolloutUpdate> lastUpdateByBuild = new TreeMap<>();

    private final Map<String, Long> inactiveSinceTicks = new HashMap<>();
    private final Map<String, List<SentAttempt>> attemptsByRequest = new HashMap<>();
    private final Map<String, List<AttemptOutcome>> outcomesByRequest = new HashMap<>();
    private final Map<String, @Nullable String> keyByRequest = new HashMap<>();
    private final Map<String, Integer> routeByRequest = new HashMap<>();
    private final List<Received> received = new ArrayList<>();
    /** The newest build that has served each partition key. */
    private final Map<String, Integer> servedBy = new HashMap<>();

    private final Set<Integer> rolledBackBuilds = new HashSet<>();
    /** Ids of the timers that the decider has started, by due time. */
    private final TreeMap<Long, Set<Long>> timers = new TreeMap<>();

    /** Selects at random the attempts whose timeout is never reported; null to report all timeouts. */
    @Nullable
    Random lostTimeoutRandom;

    long nowTicks = SECOND;
    private int requestCount;

    DecisionSimulation(Settings settings, long seed) {
        this(settings, new RoutingDecider(settings, seed));
    }

    DecisionSimulation(Settings settings, Decider decider) {
        this.settings = settings;
        this.decider = decider;
    }

    /** Returns settings with three routes, one of each idempotency, and three stages with caps of 0.1, 0.5 and 1. */
    static Settings settings(boolean isExposurePerRoute, int guardedStages, Settings.PromotionPolicy promotionPolicy) {
        return new Settings(
                0,
                2,
                0,
                List.of(
                        new Route(
                                Idempotency.IDEMPOTENT,
                                DeduplicationScope.ALL,
                                800 * MILLISECOND,
                                2500 * MILLISECOND,
                                2,
                                0,
                                0),
                        new Route(
                                Idempotency.DEDUPLICATED,
                                DeduplicationScope.ZONE,
                                SECOND,
                                4 * SECOND,
                                3,
                                0.2,
                                2 * SECOND),
                        new Route(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL, SECOND, 3 * SECOND, 1, 0, 0)),
                List.of(),
                new Settings.Limits(SECOND, 5 * SECOND, 0.4, 2 * SECOND, 3, 10 * SECOND),
                new Settings.Capabilities(4, true, false, true, true, SECOND, false),
                new Settings.Costs(0.05, 0.01, 0.01, 0.5, 3),
                new Settings.Rollout(
                        promotionPolicy,
                        1,
                        1,
                        0,
                        5 * SECOND,
                        SECOND,
                        40,
                        List.of(0.1, 0.5, 1.0),
                        2 * SECOND,
                        guardedStages,
                        true,
                        4 * SECOND,
                        2,
                        isExposurePerRoute,
                        0,
                        0.3),
                false);
    }

    static EndpointEntry endpoint(String id, int build, int zone, EndpointState state, long startedAtTicks) {
        return new EndpointEntry(id, build, zone, zone, 0, 1, state, startedAtTicks);
    }

    /** Starts with endpoints of build 1 that started long ago, in two zones, and with build 1 released. */
    void start(int endpointCount) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < endpointCount; i++) {
            entries.add(endpoint("m" + i, 1, i % 2, EndpointState.ACTIVE, 0));
        }
        decide(List.of(
                new Event.EndpointListUpdate(Event.EndpointListKind.CACHED, entries),
                rollout(1, 0, 1, RolloutPhase.RELEASED)));
    }

    void updateEndpoints(EndpointEntry... changed) {
        decide(List.of(new Event.EndpointListUpdate(Event.EndpointListKind.DELTA, List.of(changed))));
    }

    void updateRollout(int build, int stage, double cap, RolloutPhase phase) {
        decide(List.of(rollout(build, stage, cap, phase)));
    }

    private static Event.RolloutUpdate rollout(int build, int stage, double cap, RolloutPhase phase) {
        return new Event.RolloutUpdate(Event.ControlStatus.OK, stage, cap, 0, phase, build, false);
    }

    /** Sends a request with a deadline in two seconds, and returns its id. */
    String request(int route, @Nullable String partitionKey) {
        String id = "r" + requestCount++;
        decide(List.of(new Event.RequestReceived(id, route, 0, partitionKey, nowTicks + 2 * SECOND, 0, false)));
        return id;
    }

    /** Returns the attempt of a request that is in flight, or null. */
    @Nullable
    SentAttempt inFlightOf(String requestId) {
        return inFlight.stream()
                .filter(attempt -> attempt.requestId.equals(requestId))
                .findFirst()
                .orElse(null);
    }

    void end(SentAttempt attempt, AttemptOutcome outcome) {
        inFlight.remove(attempt);
        boolean isRequestEnded = outcome == AttemptOutcome.COMPLETED || !unanswered.containsKey(attempt.requestId);
        decide(List.of(ended(attempt, outcome, isRequestEnded)));
    }

    private Event.AttemptEnded ended(SentAttempt attempt, AttemptOutcome outcome, boolean isRequestEnded) {
        return new Event.AttemptEnded(
                attempt.requestId,
                attempt.attempt,
                attempt.endpointId,
                outcome,
                nowTicks - attempt.sentAtTicks,
                isRequestEnded,
                LoadReport.NONE);
    }

    /**
     * Asks whether an attempt in flight, which had to wait for a connection, may be written now, and checks a permission.
     *
     * @return the reason if it must not be written; null if it may be
     */
    @Nullable
    Refusal refusalToWrite(SentAttempt attempt) {
        WritePermission permission = decider.mayWrite(attempt.requestId, attempt.attempt, nowTicks);
        if (permission.isGranted()) {
            checkWrite(attempt, permission.latestTicks());
        }
        return permission.refusal();
    }

    private void checkWrite(SentAttempt attempt, long latestTicks) {
        check(
                RULE_DRAINING,
                !inactiveSinceTicks.containsKey(attempt.endpointId),
                "written to a draining or removed endpoint");
        Route route = settings.routes().get(routeByRequest.get(attempt.requestId));
        SentAttempt first = firstPossibleRun(attempt.requestId);
        boolean isRepeat = first != null && !first.equals(attempt) && route.idempotency() == Idempotency.DEDUPLICATED;
        check(
                RULE_ONE_EFFECT,
                !isRepeat
                        || (isInWindow(first, route)
                                && latestTicks <= first.sentAtTicks + route.deduplicationWindowTicks()),
                "a repeat was written outside its window");
        String key = keyByRequest.get(attempt.requestId);
        check(
                RULE_EXPOSURE,
                key == null || attempt.build >= servedBy.getOrDefault(key, 0),
                "an attempt of a sticky key was written to an older build");
        check(
                RULE_EXPOSURE,
                !isCanary(attempt.build) || exposureCap(attempt.build) > 0,
                "an attempt was written to a build that has no share");
    }

    void disconnect(String requestId) {
        unanswered.remove(requestId);
        decide(List.of(new Event.ClientDisconnected(requestId)));
    }

    /** Advances the time: attempts past their timeout end, and the decider is called every five milliseconds. */
    void advance(long spanTicks) {
        for (long endTicks = nowTicks + spanTicks; nowTicks < endTicks; ) {
            nowTicks += 5 * MILLISECOND;
            timeOutAttempts();
            decide(List.of(new Event.TimerFired(0)));
        }
    }

    /**
     * Advances the time as a front node does: the decider is called only when one of its timers or an attempt's timeout
     * is due.
     */
    void advanceByTimers(long spanTicks) {
        long endTicks = nowTicks + spanTicks;
        while (true) {
            long timeoutTicks = inFlight.stream()
                    .mapToLong(SentAttempt::timesOutAtTicks)
                    .min()
                    .orElse(Long.MAX_VALUE);
            long nextTicks = Math.min(timeoutTicks, timers.isEmpty() ? Long.MAX_VALUE : timers.firstKey());
            if (nextTicks > endTicks) {
                nowTicks = endTicks;
                return;
            }
            nowTicks = Math.max(nowTicks, nextTicks);
            timeOutAttempts();
            while (!timers.isEmpty() && timers.firstKey() <= nowTicks) {
                for (long timerId : timers.pollFirstEntry().getValue()) {
                    decide(List.of(new Event.TimerFired(timerId)));
                }
            }
        }
    }

    private void timeOutAttempts() {
        for (SentAttempt attempt : List.copyOf(inFlight)) {
            // the end of an earlier attempt can have cancelled this one
            if (attempt.timesOutAtTicks <= nowTicks && inFlight.contains(attempt)) {
                end(attempt, AttemptOutcome.TIMED_OUT);
            }
        }
    }

    /**
     * Sends requests at intervals. Their attempts end after a fixed latency, and fail with the error share of their
     * build.
     */
    void runTraffic(
            long spanTicks,
            int intervalMillis,
            long latencyTicks,
            double stableErrorShare,
            double canaryErrorShare,
            Random random) {
        for (long endTicks = nowTicks + spanTicks; nowTicks < endTicks; ) {
            nowTicks += intervalMillis * MILLISECOND;
            for (SentAttempt attempt : List.copyOf(inFlight)) {
                if (nowTicks >= attempt.sentAtTicks + latencyTicks) {
                    double errorShare = attempt.build > 1 ? canaryErrorShare : stableErrorShare;
                    boolean isError = random.nextDouble() < errorShare;
                    end(attempt, isError ? AttemptOutcome.FAILED : AttemptOutcome.COMPLETED);
                }
            }
            request(random.nextInt(2) * 2, "k" + random.nextInt(400));
        }
    }

    /** Passes events to the decider, and executes and checks its actions. */
    void decide(List<Event> events) {
        events.forEach(this::record);
        for (Event.RolloutUpdate update : lastUpdateByBuild.values()) {
            if (update.phase() == RolloutPhase.ROLLING_BACK || update.phase() == RolloutPhase.ROLLED_BACK) {
                rolledBackBuilds.add(update.build());
            }
        }
        servedBy.values().removeIf(rolledBackBuilds::contains);
        lastActions.clear();
        lastActions.addAll(decider.decide(nowTicks, events));
        lastActions.forEach(this::carryOut);
        checkEachRequestIsServed();
    }

    private void record(Event event) {
        if (event instanceof Event.EndpointListUpdate update) {
            record(update);
        } else if (event instanceof Event.RolloutUpdate update && update.status() == Event.ControlStatus.OK) {
            lastUpdateByBuild.put(update.build(), update);
            servedBy.values().removeIf(build -> build < update.build() && !lastUpdateByBuild.containsKey(build));
        } else if (event instanceof Event.RequestReceived request) {
            record(request);
        } else if (event instanceof Event.AttemptEnded ended) {
            record(ended);
        }
    }

    private void record(Event.EndpointListUpdate update) {
        for (EndpointEntry entry : update.entries()) {
            endpoints.put(entry.endpointId(), entry);
            if (entry.state() == EndpointState.ACTIVE) {
                inactiveSinceTicks.remove(entry.endpointId());
            } else {
                inactiveSinceTicks.putIfAbsent(entry.endpointId(), nowTicks);
            }
        }
        if (update.kind() == Event.EndpointListKind.SNAPSHOT) {
            Set<String> listedIds = new HashSet<>();
            update.entries().forEach(entry -> listedIds.add(entry.endpointId()));
            endpoints.keySet().stream()
                    .filter(id -> !listedIds.contains(id))
                    .forEach(id -> inactiveSinceTicks.putIfAbsent(id, nowTicks));
        }
    }

    private void record(Event.RequestReceived request) {
        unanswered.put(request.requestId(), request);
        keyByRequest.put(request.requestId(), request.partitionKey());
        routeByRequest.put(request.requestId(), request.route());
        attemptsByRequest.put(request.requestId(), new ArrayList<>());
        outcomesByRequest.put(request.requestId(), new ArrayList<>());
        received.add(new Received(nowTicks, request.route()));
    }

    private void record(Event.AttemptEnded ended) {
        outcomesByRequest.get(ended.requestId()).add(ended.outcome());
        if (ended.outcome() != AttemptOutcome.COMPLETED || !unanswered.containsKey(ended.requestId())) {
            return;
        }
        String key = unanswered.remove(ended.requestId()).partitionKey();
        int build = attemptsByRequest.get(ended.requestId()).get(ended.attempt()).build;
        if (key != null && bindsKeys(build)) {
            servedBy.merge(key, build, Math::max);
        }
    }

    private void carryOut(Action action) {
        if (action instanceof Action.SendAttempt send) {
            send(send);
        } else if (action instanceof Action.RejectRequest reject) {
            String id = reject.requestId();
            check(RULE_ONE_ANSWER, unanswered.containsKey(id), "second answer to " + id);
            check(RULE_ONE_EFFECT, mayReject(id), "rejected although it may have run: " + id);
            unanswered.remove(id);
            finalAnswers.add(action);
        } else if (action instanceof Action.FailRequest fail) {
            String id = fail.requestId();
            check(RULE_ONE_ANSWER, unanswered.remove(id) != null, "second answer to " + id);
            finalAnswers.add(action);
        } else if (action instanceof Action.CastVote vote) {
            votes.add(vote);
        } else if (action instanceof Action.StartTimer timer) {
            timers.computeIfAbsent(Math.max(timer.dueAtTicks(), nowTicks + 1), key -> new HashSet<>())
                    .add(timer.timerId());
        } else if (action instanceof Action.CancelAttempt cancel) {
            cancel(cancel);
        }
    }

    private void cancel(Action.CancelAttempt cancel) {
        List<SentAttempt> cancelled = inFlight.stream()
                .filter(a -> a.requestId.equals(cancel.requestId()) && a.attempt == cancel.attempt())
                .toList();
        for (SentAttempt attempt : cancelled) {
            inFlight.remove(attempt);
            outcomesByRequest.get(attempt.requestId).add(AttemptOutcome.CANCELLED);
            boolean isRequestEnded = !unanswered.containsKey(attempt.requestId);
            decider.decide(nowTicks, List.of(ended(attempt, AttemptOutcome.CANCELLED, isRequestEnded)));
        }
    }

    private void send(Action.SendAttempt send) {
        Event.RequestReceived request = unanswered.get(send.requestId());
        check(RULE_ONE_ANSWER, request != null, "sent although already answered: " + send.requestId());
        if (request == null) {
            return;
        }
        EndpointEntry endpoint = endpoints.get(send.endpointId());
        Long inactiveSince = inactiveSinceTicks.get(send.endpointId());
        check(
                RULE_DRAINING,
                inactiveSince == null
                        || nowTicks <= inactiveSince + settings.limits().drainGraceTicks(),
                "sent to a draining or removed endpoint after the grace period");
        checkEffects(request, endpoint);
        checkExposure(request, endpoint);
        checkStickyKey(request, endpoint);
        boolean isTimeoutLost = lostTimeoutRandom != null && lostTimeoutRandom.nextInt(10) == 0;
        long timeoutTicks = Math.min(send.timeoutTicks(), request.deadlineTicks() - nowTicks);
        List<SentAttempt> attempts = attemptsByRequest.get(send.requestId());
        SentAttempt attempt = new SentAttempt(
                send.requestId(),
                attempts.size(),
                send.endpointId(),
                endpoint.build(),
                endpoint.zone(),
                nowTicks,
                isTimeoutLost ? Long.MAX_VALUE : nowTicks + timeoutTicks);
        attempts.add(attempt);
        inFlight.add(attempt);
        sent.add(attempt);
        check(RULE_ONE_ANSWER, refusalToWrite(attempt) == null, "refused as soon as it was sent: " + send);
    }

    private void checkEffects(Event.RequestReceived request, EndpointEntry endpoint) {
        String id = request.requestId();
        check(RULE_ONE_EFFECT, inFlightOf(id) == null, "two attempts in flight at the same time");
        Route route = settings.routes().get(request.route());
        SentAttempt first = firstPossibleRun(id);
        if (first == null) {
            return;
        }
        check(
                RULE_ONE_EFFECT,
                route.idempotency() != Idempotency.NOT_IDEMPOTENT,
                "a request that is not idempotent may have run twice");
        boolean isKnown = route.deduplicationScope() == DeduplicationScope.ALL || first.zone == endpoint.zone();
        check(
                RULE_ONE_EFFECT,
                route.idempotency() != Idempotency.DEDUPLICATED || (isInWindow(first, route) && isKnown),
                "a deduplicated request was repeated outside its scope or window");
    }

    private void checkExposure(Event.RequestReceived request, EndpointEntry endpoint) {
        int build = endpoint.build();
        if (!isCanary(build)) {
            return;
        }
        check(
                RULE_EXPOSURE,
                exposureCap(build) > 0 && allowsExposure(build, request.route()),
                "exposure over the cap of build " + build);
        int stage = lastUpdateByBuild.containsKey(build)
                ? lastUpdateByBuild.get(build).stage()
                : 0;
        Idempotency idempotency = settings.routes().get(request.route()).idempotency();
        check(
                RULE_EXPOSURE,
                stage >= settings.rollout().guardedStages() || idempotency == Idempotency.IDEMPOTENT,
                "a request that is not idempotent in a guarded stage");
    }

    private void checkStickyKey(Event.RequestReceived request, EndpointEntry endpoint) {
        String key = request.partitionKey();
        if (key == null) {
            return;
        }
        check(RULE_EXPOSURE, endpoint.build() >= servedBy.getOrDefault(key, 0), "a sticky key went to an older build");
        boolean mayBeServedByNewerBuild = inFlight.stream()
                .anyMatch(a -> a.sentAtTicks < nowTicks
                        && key.equals(keyByRequest.get(a.requestId))
                        && bindsKeys(a.build)
                        && endpoint.build() < a.build);
        check(
                RULE_EXPOSURE,
                !mayBeServedByNewerBuild,
                "a sticky key went to an older build while a newer one may have served it");
    }

    private void checkEachRequestIsServed() {
        Set<String> inFlightIds = new HashSet<>();
        inFlight.forEach(attempt -> inFlightIds.add(attempt.requestId));
        for (Event.RequestReceived request : unanswered.values()) {
            String id = request.requestId();
            check(RULE_ONE_ANSWER, nowTicks < request.deadlineTicks(), "no answer in time to " + id);
            check(RULE_ONE_ANSWER, inFlightIds.contains(id), "neither in flight nor answered immediately: " + id);
        }
    }

    private void check(int rule, boolean isSatisfied, String violation) {
        if (!isSatisfied) {
            violations.add("rule " + rule + " at " + nowTicks + ": " + violation);
        }
    }

    /** Returns the violations of one rule. */
    List<String> violationsOf(int rule) {
        return violations.stream()
                .filter(v -> v.startsWith("rule " + rule + " "))
                .toList();
    }

    private @Nullable SentAttempt firstPossibleRun(String requestId) {
        List<SentAttempt> attempts = attemptsByRequest.get(requestId);
        List<AttemptOutcome> outcomes = outcomesByRequest.get(requestId);
        for (int i = 0; i < attempts.size(); i++) {
            AttemptOutcome outcome = i < outcomes.size() ? outcomes.get(i) : null;
            if (outcome != AttemptOutcome.OVERLOADED
                    && outcome != AttemptOutcome.CONNECT_FAILED
                    && outcome != AttemptOutcome.NOT_SENT) {
                return attempts.get(i);
            }
        }
        return null;
    }

    private boolean isInWindow(SentAttempt first, Route route) {
        return nowTicks <= first.sentAtTicks + route.deduplicationWindowTicks();
    }

    private boolean mayReject(String requestId) {
        Event.RequestReceived request = unanswered.get(requestId);
        SentAttempt first = request == null ? null : firstPossibleRun(requestId);
        if (request == null || first == null) {
            return true;
        }
        Route route = settings.routes().get(request.route());
        return route.idempotency() == Idempotency.IDEMPOTENT
                || (route.idempotency() == Idempotency.DEDUPLICATED
                        && route.deduplicationScope() == DeduplicationScope.ALL
                        && isInWindow(first, route));
    }

    /**
     * Returns whether a build is a canary. It is one until the control service reports otherwise, and also before the
     * control service reports it for the first time. A decider of a single rollout only tracks the newest build.
     */
    boolean isCanary(int build) {
        if (rolledBackBuilds.contains(build)) {
            return true;
        }
        int newest = lastUpdateByBuild.isEmpty() ? 1 : lastUpdateByBuild.lastKey();
        boolean isPassed = (!(decider instanceof PartitionedDecider) && build < newest)
                || lastUpdateByBuild.tailMap(build, false).values().stream()
                        .anyMatch(update -> update.phase() == RolloutPhase.RELEASED);
        if (isPassed) {
            return false;
        }
        Event.RolloutUpdate update = lastUpdateByBuild.get(build);
        return update == null ? build > newest : update.phase() != RolloutPhase.RELEASED;
    }

    /** Returns the share of the requests that a canary may receive. */
    double exposureCap(int build) {
        Event.RolloutUpdate update = lastUpdateByBuild.get(build);
        if (update == null) {
            return settings.rollout().stageExposureCaps().get(0);
        }
        return update.phase() == RolloutPhase.CANARY ? update.exposureCap() : 0;
    }

    /**
     * Returns whether one more attempt may be sent now. Counts all attempts in the window from scratch, which is slow
     * but simple.
     */
    boolean allowsExposure(int build, int route) {
        long fromTicks = nowTicks - settings.rollout().exposureWindowTicks();
        long attempts = sent.stream()
                .filter(a -> a.build == build
                        && a.sentAtTicks >= fromTicks
                        && isCounted(routeByRequest.get(a.requestId), route))
                .count();
        long requests = received.stream()
                .filter(r -> r.atTicks >= fromTicks && isCounted(r.route, route))
                .count();
        return attempts + 1 <= settings.rollout().exposureAllowance() + exposureCap(build) * requests;
    }

    private boolean isCounted(int route, int countedRoute) {
        return !settings.rollout().exposurePerRoute() || route == countedRoute;
    }

    /**
     * Returns whether the answers of a build bind their keys. A node cannot recognize a build as new if an update of a
     * later build arrived first.
     */
    private boolean bindsKeys(int build) {
        return !rolledBackBuilds.contains(build)
                && (lastUpdateByBuild.containsKey(build) || build > lastUpdateByBuild.lastKey());
    }
}

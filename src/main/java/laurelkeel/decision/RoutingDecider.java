package laurelkeel.decision;

import java.util.*;
import java.util.function.ToIntFunction;
import laurelkeel.api.Action;
import laurelkeel.api.Action.Verdict;
import laurelkeel.api.Decider;
import laurelkeel.api.Event;
import laurelkeel.api.Event.*;
import laurelkeel.api.Settings;
import laurelkeel.api.Settings.*;
import laurelkeel.api.Ticks;

/**
 * All decisions of one front: which build and machine each req goes to, when it is tried again or given up,
 * and how the front votes on a rollout.
 *
 * <p>Callers make one Shifter a front (Decider.Maker) and call decide with the present moment and all learned
 * since; the actions that come back take effect at that moment, in order. The interface is the package
 * laurelkeel.api: Event in, Action out, Settings at the start. Instances share nothing; the only clock is the
 * caller's, in tenths of a millisecond. The mechanism is explained in docs/design.md.
 */
public final class RoutingDecider implements Decider {
    private static final long SECOND = Ticks.PER_SECOND;

    // ---- tuned values; docs/design.md says what each was tried against
    private static final long READY = 3 * SECOND;
    private static final double MARGIN = 0.02;
    private static final double SURE = 3.0;
    private static final int SPAN = 5;
    private static final int LEAST = 20;
    private static final int LEAST_FAILS = 3;
    private static final double OWN_FAULT = 0.05;
    private static final int LEAST_COMPLAINTS = 5;
    private static final double SLOWER = 2;
    private static final long MEMORY = 30 * SECOND;
    private static final long TICK = SECOND / 10;
    private static final double SHARED = 1.4;
    private static final int LASTING = 10;
    private static final double MORE = 1.3;
    private static final int ERRS_HEARD = 5;

    /** One second of the instance: outcomes by build and route, and how slow each machine was. */
    private static final class Second {
        final Map<Integer, BuildOutcomes[]> builds = new TreeMap<>();
        int taken, sends, trialSends;
        final Map<String, double[]> paces = new TreeMap<>();

        /** What two thirds of the machines exceed: half of them slow is no slow fleet; 0 for too few. */
        double pace() {
            double[] means = paces.values().stream()
                    .mapToDouble(v -> v[0] / v[1])
                    .sorted()
                    .toArray();
            return means.length < 3 ? 0 : means[means.length / 3];
        }
    }

    // ---- the instance's own
    private final Settings set;
    private final SeededRandom random;
    private long now;
    private final SlowStart slowStart;
    private final FleetThroughput throughput;
    private final EndpointRegistry endpoints;
    private final RequestTable requests = new RequestTable();
    private final DeadlineQueue<ActiveRequest> deadlines = new DeadlineQueue<>();
    private long armedFor = Long.MAX_VALUE;
    private long nextTick;
    private final List<RouteLatency> latencies = new ArrayList<>();
    private final QueueWaitEstimator waits = new QueueWaitEstimator();
    private final RetryBudget retryBudget = new RetryBudget();
    private final RetryPolicy retryPolicy;
    private final AttemptTimeoutPolicy timeoutPolicy;
    private final AdmissionController admission;
    private final double sure;

    private final RolloutState rollout;
    private final StickyKeys stickyKeys = new StickyKeys();
    private final CanaryRamp ramp = new CanaryRamp();
    private final ExposureLimiter exposure;
    private final BuildRouter router;
    private final ClientRetryDetector clientRetries = new ClientRetryDetector();
    private final TreeMap<Long, Second> seconds = new TreeMap<>();
    /** What the platform counted of all fronts' tries. */
    private final TreeMap<Long, Second> counted = new TreeMap<>();

    // the vote
    private Action.CastVote stands, asked;
    private long askedAt = Long.MIN_VALUE / 2;
    private long stoodAt, nextVerdict;
    private String reason;

    private final EndpointPoller poller;

    private final List<Action> out = new ArrayList<>();

    public RoutingDecider(Settings settings, long seed) {
        this.set = settings;
        this.random = new SeededRandom(seed);
        this.poller = new EndpointPoller(
                settings.capabilities().endpointPolling(), settings.limits().maxPollIntervalTicks());
        // of many fronts, some see a lead by mere chance: the fewer votes send a build back, the surer each
        int enough = Math.max(1, settings.rollout().rollBackVotes());
        sure = Math.sqrt(SURE * SURE + 2 * Math.log(Math.max(1, settings.nodeCount() / (double) enough)));
        for (Route route : settings.routes()) {
            latencies.add(new RouteLatency(route.latencyObjectiveTicks()));
        }
        slowStart = new SlowStart(settings.limits());
        throughput = new FleetThroughput(FleetThroughput.assumedAnswersPerSecond(settings));
        endpoints = new EndpointRegistry(settings, random, slowStart);
        retryPolicy = new RetryPolicy(settings.capabilities().maxAttempts());
        timeoutPolicy = new AttemptTimeoutPolicy(latencies, retryPolicy, retryBudget);
        admission = new AdmissionController(settings, latencies, waits);
        EndpointPicker picker = new EndpointPicker(endpoints, retryPolicy, slowStart, throughput);
        rollout = new RolloutState(settings.rollout());
        exposure = new ExposureLimiter(settings.rollout(), settings.routes().size());
        router = new BuildRouter(rollout, stickyKeys, ramp, exposure, picker::pick);
    }

    @Override
    public List<Action> decide(long moment, List<Event> events) {
        now = moment;
        out.clear();
        for (Event e : events) {
            learn(e);
        }
        rollout.selectBuilds(endpoints, now);
        throughput.observeCapacity(endpoints.activeCapacity());
        ramp.observe(rollout.canaryBuild(), endpoints.currentCapacity(rollout.stableBuild(), now));
        while (deadlines.nextAtTicks() <= now) {
            for (ActiveRequest request : deadlines.removeNext()) {
                if (!request.isDone()) {
                    requests.markPending(request);
                }
            }
        }
        if (now >= nextTick) {
            nextTick = now + TICK;
            tidy();
            endpoints.markErrorOutliers();
            endpoints.adaptSubsets(inFlight(), admission.areAnswersWaiting(), now);
            raiseExposure();
        }
        for (ActiveRequest request : requests.pending()) {
            place(request);
        }
        emit(wantedVote());
        return List.copyOf(out);
    }

    private void learn(Event e) {
        if (e instanceof RequestReceived r) {
            take(r);
        } else if (e instanceof AttemptEnded t) {
            tryEnded(t);
        } else if (e instanceof ClientDisconnected c) {
            ActiveRequest request = requests.find(c.requestId());
            if (request != null) {
                request.finish();
                requests.markPending(request);
            }
        } else if (e instanceof EndpointListUpdate l) {
            readList(l);
        } else if (e instanceof RolloutUpdate n) {
            readNews(n);
        } else if (e instanceof ComplaintReceived c) {
            Endpoint endpoint = endpoints.find(c.endpointId());
            if (endpoint != null) {
                cell(seconds, now - c.sentAgoTicks(), endpoint.build(), c.route())
                        .addComplaint();
            }
        } else if (e instanceof BuildStatistics b) {
            cell(counted, now - b.ageTicks(), b.build(), b.route()).addAttempts(b.attempts(), b.errors());
        } else if (e instanceof TimerFired) {
            armedFor = Long.MAX_VALUE;
        }
    }

    // ---- the list

    private void readList(EndpointListUpdate l) {
        poller.updateReceived(l.kind(), now);
        if (l.kind() == EndpointListKind.FAILED) {
            return;
        }
        endpoints.apply(l, now);
    }

    private int inFlight() {
        return latencies.stream().mapToInt(RouteLatency::inFlight).sum();
    }

    private void readNews(RolloutUpdate n) {
        if (n.answersVote() && asked != null) {
            if (n.status() == ControlStatus.OK) {
                stands = asked;
                stoodAt = askedAt;
            }
            asked = null;
        }
        if (!rollout.isCurrent(n)) {
            return;
        }
        if (rollout.apply(n, now)) {
            out.add(new Action.WriteLog("build " + n.build() + " stage " + n.stage() + " " + n.phase()));
        }
        switch (n.phase()) {
            case ROLLING_BACK, ROLLED_BACK -> stickyKeys.buildRolledBack(n.build());
            case RELEASED -> stickyKeys.buildReleased(n.build());
            case CANARY -> {}
        }
    }

    private void raiseExposure() {
        if (rollout.hasCanary()) {
            ramp.raise(
                    rollout.exposureCap(),
                    endpoints.currentCapacity(rollout.canaryBuild(), now),
                    endpoints.currentCapacity(rollout.stableBuild(), now));
        }
    }

    // ---- reqs

    private void wakeAt(ActiveRequest request, long at) {
        deadlines.add(request, Math.max(at, now + 1));
    }

    private void take(RequestReceived received) {
        exposure.requestReceived(received.route(), now);
        retryBudget.requestReceived();
        double keylessFraction = received.partitionKey() == null ? random.nextDouble() : -1;
        ActiveRequest request = new ActiveRequest(
                received, set.routes().get(received.route()), keylessFraction, clientRetries.isRetry(received), now);
        second(now).taken += request.isClientRetry() ? 0 : 1;
        requests.add(request);
        wakeAt(request, request.answerDueAtTicks());
        wakeAt(request, request.objectiveCheckAtTicks());
        requests.markPending(request);
    }

    private void tryEnded(AttemptEnded event) {
        ActiveRequest request = requests.find(event.requestId());
        Attempt attempt = request == null ? null : request.attemptEnded(event);
        if (attempt == null) {
            return;
        }
        Endpoint endpoint = attempt.endpoint();
        endpoint.attemptEnded();
        RouteLatency latency = latencies.get(request.routeIndex());
        latency.attemptEnded();
        Double concurrentRequests = event.loadReport().concurrentRequests();
        if (concurrentRequests != null) {
            endpoint.loadReported(concurrentRequests);
        }
        boolean isAnswerDue = now >= request.answerDueAtTicks();
        if (endpoint.health().record(event.outcome(), isAnswerDue, now)) {
            endpoint.restrictionChanged();
        }
        if (event.outcome() == AttemptOutcome.COMPLETED) {
            learnLatency(attempt, request.routeIndex(), event.durationTicks());
        }
        judgeBuild(attempt, event, request);
        String key = request.partitionKey();
        if (key != null) {
            stickyKeys.attemptEnded(key, endpoint.build());
        }
        if (event.outcome().mayHaveServed() && key != null && rollout.bindsKeys(endpoint.build())) {
            // by the build that answered: one not announced yet can leave the list before its answer comes;
            // an answer that could not be read, or came as the front gave it up, was one all the same
            stickyKeys.served(key, endpoint.build());
        }
        if (event.outcome() == AttemptOutcome.COMPLETED) {
            throughput.attemptCompleted();
        } else {
            request.attemptFailed(endpoint, endpoint.build() == rollout.canaryBuild());
        }
        requests.markPending(request);
    }

    private void learnLatency(Attempt attempt, int route, long durationTicks) {
        Endpoint endpoint = attempt.endpoint();
        RouteLatency latency = latencies.get(route);
        // answers only: silence at some machines says nothing of the others
        latency.recordRecent(durationTicks);
        OptionalDouble known = latency.ratioToUsual(durationTicks, attempt.concurrencyLevel());
        if (known.isPresent()) {
            double ratio = known.getAsDouble();
            endpoint.latency().recordRatio(ratio);
            endpoint.updateWeight(slowStart, now);
            // warm by the settings' own word: a machine still warming up is slow for no fault of its build
            if (slowStart.isWarm(endpoint.startedAtTicks(), attempt.sentAtTicks())) {
                endpoint.latency().countWarmAnswer();
                cell(seconds, now, endpoint.build(), route).addLatencyRatio(ratio);
            }
            if (attempt.isEndpointSettled()) {
                double[] sum = second(now).paces.computeIfAbsent(endpoint.id(), k -> new double[2]);
                sum[0] += ratio;
                sum[1]++;
            }
            latency.recordDeviation(ratio);
        }
        // while a build is on trial the usual stands still, or harm that both builds share would become usual
        if (rollout.judgedBuild(now) < 0
                || (endpoint.build() != rollout.judgedBuild(now) && !latency.isKnown(attempt.concurrencyLevel()))) {
            latency.learnUsual(durationTicks, attempt.concurrencyLevel());
        }
        latency.learnCalm(durationTicks);
        double waitTicks = durationTicks - latency.calmTicks();
        endpoint.latency().recordWait(waitTicks, attempt.inFlightAtEndpoint(), now);
        waits.recordWait(waitTicks, throughput.answersPerSecond());
    }

    /** Sets what is wanted for one req: a send, an end, or to go on waiting. */
    private void place(ActiveRequest request) {
        if (request.isFinished() || request.isFinalAnswerDue()) {
            return;
        }
        Attempt attempt = request.attemptInFlight();
        if (now >= request.answerDueAtTicks()) {
            request.requireFinalAnswer();
        } else if (attempt == null) {
            planAttempt(request);
        } else if (now >= request.objectiveCheckAtTicks() && admission.isToBeAbandoned(request, attempt, now)) {
            request.requireFinalAnswer();
        }
    }

    private void planAttempt(ActiveRequest request) {
        // rejected attempts count too: a fleet at capacity must not be asked by every request at every endpoint
        boolean isRetry = request.attemptCount() > 0;
        boolean may = retryPolicy.mayAttempt(request, now) && (!isRetry || retryBudget.allows(1));
        Endpoint endpoint = may ? router.choose(request, now) : null;
        if (endpoint == null || !admission.admits(request, endpoint, now)) {
            request.requireFinalAnswer();
            return;
        }
        if (isRetry) {
            retryBudget.spend();
        }
        request.planAttempt(endpoint, timeoutPolicy.timeoutTicks(request, endpoint.inFlight(), now));
        send(request, endpoint);
    }

    private void send(ActiveRequest request, Endpoint endpoint) {
        endpoint.attemptStarted();
        latencies.get(request.routeIndex()).attemptStarted();
        endpoint.warmUpBudget().attemptSent(now);
        second(now).sends++;
        second(now).trialSends += endpoint.build() == rollout.judgedBuild(now) ? 1 : 0;
        if (endpoint.build() == rollout.canaryBuild()) {
            exposure.attemptSent(endpoint.build(), request.routeIndex(), now);
        }
    }

    // ---- judging builds

    private Second second(long at) {
        return seconds.computeIfAbsent(at / SECOND, k -> new Second());
    }

    private BuildOutcomes cell(TreeMap<Long, Second> of, long at, int build, int route) {
        Second second = of.computeIfAbsent(at / SECOND, k -> new Second());
        BuildOutcomes[] cells = second.builds.computeIfAbsent(
                build, k -> new BuildOutcomes[set.routes().size()]);
        cells[route] = cells[route] == null ? new BuildOutcomes() : cells[route];
        return cells[route];
    }

    private void judgeBuild(Attempt attempt, AttemptEnded event, ActiveRequest request) {
        boolean failed = event.outcome() == AttemptOutcome.FAILED;
        BuildOutcomes failedIn = request.failureCountedIn();
        if (event.outcome() == AttemptOutcome.COMPLETED && failedIn != null) {
            failedIn.addRecoveredFailure();
        }
        boolean counts =
                failed || event.outcome() == AttemptOutcome.COMPLETED || event.outcome() == AttemptOutcome.TIMED_OUT;
        if (attempt.isEndpointSettled()
                && counts
                && !attempt.endpoint().health().isSuspect()
                && !request.isClientRetry()) {
            // by when it was sent: errors come quickly, so a build whose share just rose has them first
            BuildOutcomes outcomes =
                    cell(seconds, attempt.sentAtTicks(), attempt.endpoint().build(), request.routeIndex());
            outcomes.addAttempts(1, failed ? 1 : 0);
            request.setFailureCountedIn(failed ? outcomes : null);
        }
    }

    /** What speaks against cand beside the earlier build, over the seconds both were seen; or null. */
    private String against(int cand, int rev) {
        // after the release nothing serves beside it: then the earlier build's last seconds stand
        boolean beside = rollout.phase() == RolloutPhase.CANARY;
        int routes = set.routes().size();
        BuildOutcomes[] earlier = total(seconds.values(), rev, -1);
        List<Map<Integer, BuildOutcomes[]>> over = spans(seconds, cand, rev, beside ? SPAN : MEMORY);
        // of many fronts each sees few tries: the platform's counts say how often, an error of its own of
        // what kind, for they take time-outs of cold machines for failures
        BuildOutcomes[] own = total(seconds.values(), cand, -1);
        var all = own[routes].attempts() < LEAST ? spans(counted, cand, rev, beside ? SPAN : MEMORY) : null;
        // one front's finding alone must be surer than one that others must share
        int fails = set.rollout().rollBackVotes() > 1 ? LEAST_FAILS - 1 : LEAST_FAILS;
        // where reqs fail on the earlier build too, only one that another try cured speaks of its build
        boolean cured = !beside || earlier[routes].failures() > OWN_FAULT * earlier[routes].attempts();
        // one machine is no build: where several of it are seen, at least two must have erred of late
        List<Endpoint> of = endpoints.activeEndpoints(cand);
        boolean one =
                of.stream().filter(e -> e.health().outcomeCount() >= ERRS_HEARD).count() > 1
                        && of.stream()
                                        .filter(e -> e.health().errorRate() > EndpointHealth.ERROR_RATE_SMOOTHING / 10)
                                        .count()
                                < 2;
        for (int r = 0; r <= routes; r++) {
            int least = r < routes ? LEAST / 2 : LEAST;
            boolean errs =
                    leads(over, cand, rev, r, c -> cured ? c.recoveredFailures() : c.failures(), least, fails, 1e9);
            errs |= all != null
                    && own[r].failures() > 0
                    && leads(all, cand, rev, r, c -> c.failures(), least, LEAST_FAILS, of.size());
            errs &= !one;
            if (errs || leads(over, cand, rev, r, c -> c.complaints(), LEAST, LEAST_COMPLAINTS, 1e9)) {
                return (errs ? "errors" : "complaints") + " on route " + r;
            }
        }
        // after the release no seconds are shared, and other loads than then pass for a slow build
        String slow = beside
                ? slower(cand, total(seconds.values(), cand, rev)[routes], total(seconds.values(), rev, cand)[routes])
                : null;
        return slow == null ? slowsAll() : slow;
    }

    /** Both builds' outcomes by route, span by span. */
    private List<Map<Integer, BuildOutcomes[]>> spans(TreeMap<Long, Second> of, int cand, int rev, long back) {
        List<Map<Integer, BuildOutcomes[]>> over = new ArrayList<>();
        for (long at = now / SECOND; at > (now - MEMORY) / SECOND; at -= back) {
            var span = of.subMap(at - back, false, at, true).values();
            over.add(Map.of(cand, total(span, cand, -1), rev, total(span, rev, -1)));
        }
        return over;
    }

    /** A build's outcomes by route, last all routes', over the seconds beside was seen in; below 0 all. */
    private BuildOutcomes[] total(Collection<Second> span, int build, int beside) {
        BuildOutcomes[] total = new BuildOutcomes[set.routes().size() + 1];
        Arrays.setAll(total, r -> new BuildOutcomes());
        for (Second second : span) {
            BuildOutcomes[] cells = beside < 0 || second.builds.containsKey(beside) ? second.builds.get(build) : null;
            for (int r = 0; cells != null && r < cells.length; r++) {
                BuildOutcomes cell = cells[r] == null ? new BuildOutcomes() : cells[r];
                total[r].add(cell);
                total[cells.length].add(cell);
            }
        }
        return total;
    }

    /**
     * Harm that all machines share: most have been slow for longer than most outside spells, ever since the
     * trial had traffic, and were not before it.
     */
    private String slowsAll() {
        double before = paceBefore();
        double usual = seconds.values().stream()
                .filter(s -> s.trialSends == 0)
                .mapToInt(s -> s.taken)
                .average()
                .orElse(0);
        int load = 0, seen = 0, slow = 0;
        for (Second s : seconds.tailMap(now / SECOND - LASTING).values()) {
            double pace = s.pace();
            seen += pace > 0 ? 1 : 0;
            slow += pace > SHARED * before && s.trialSends > 0.05 * s.sends ? 1 : 0;
            load += s.taken;
        }
        // under more reqs than before the trial slowness proves nothing; sends would hide them by sheds
        boolean usualLoad = before > 0 && load < MORE * usual * LASTING;
        // of many fronts the quietest see a few seconds only, and the vote of one may decide
        boolean lasts = usualLoad && seen >= LASTING * 2 / 3 * sure / SURE && slow >= 0.85 * seen;
        return lasts ? "slows all in " + slow + " of " + seen + " seconds, before " + before : null;
    }

    private double paceBefore() {
        return seconds.values().stream()
                .filter(s -> s.trialSends == 0)
                .mapToDouble(Second::pace)
                .filter(p -> p > 0)
                .map(p -> Math.max(0.8, p))
                .average()
                .orElse(0);
    }

    /** Slow is a build surely slower by its answers and on most of its machines: one machine is no build. */
    private String slower(int cand, BuildOutcomes a, BuildOutcomes b) {
        List<Endpoint> seen = endpoints.activeEndpoints(cand).stream()
                .filter(e -> e.latency().warmAnswerCount() >= LEAST / 4)
                .toList();
        long most = seen.stream()
                .filter(e -> e.latency().ratioToUsual() > (1 + SLOWER) / 2)
                .count();
        if (a.ratedAnswers() < 2 * LEAST || b.ratedAnswers() < 2 * LEAST || most < 2 || most * 6 < seen.size() * 5) {
            return null;
        }
        double x = a.meanLatencyRatio();
        double y = Math.max(1, b.meanLatencyRatio());
        double doubt = Math.sqrt(a.latencyRatioErrorSquared(x) + b.latencyRatioErrorSquared(y));
        boolean slow = x > SLOWER * y && x - (1 + SLOWER) / 2 * y > sure * doubt;
        return slow ? "slow " + x + " of " + a.ratedAnswers() + ", earlier " + y + " of " + b.ratedAnswers() : null;
    }

    /**
     * A lead in failures or complaints, each span and route by itself: summed, a share that changes with
     * time or route passes for a lead of the build that has its traffic then.
     *
     * @param machines of cand, where they cannot be told apart: a few that always fail are no build, so no
     *     more outcomes than that count as independent
     */
    private boolean leads(
            Collection<Map<Integer, BuildOutcomes[]>> over,
            int cand,
            int rev,
            int route,
            ToIntFunction<BuildOutcomes> what,
            int least,
            int leastHits,
            double machines) {
        double lead = 0, weight = 0, tries = 0, hits = 0, all = 0, allHits = 0;
        for (Map<Integer, BuildOutcomes[]> second : over) {
            BuildOutcomes[] x = second.get(cand), y = second.get(rev);
            for (int r = 0; r < x.length - 1; r++) {
                double n = x[r].attempts(), m = y[r].attempts();
                if ((route == x.length - 1 || r == route) && n > 0 && m > 0) {
                    double f = what.applyAsInt(x[r]);
                    double g = what.applyAsInt(y[r]);
                    double even = n * m / (n + m);
                    lead += even * (f / n - g / m);
                    weight += even;
                    all += n + m;
                    allHits += f + g;
                    tries += n;
                    hits += f;
                }
            }
        }
        // the doubt by the share over all: a second of few tries shows too little of its own
        double doubt = Math.sqrt(weight * allHits / all * Math.max(0, 1 - allHits / all))
                * Math.sqrt(Math.max(1, weight / machines));
        return tries >= least && hits >= leastHits && lead > MARGIN * weight && lead > sure * doubt;
    }

    private long newest(int build) {
        EndpointPool pool = endpoints.pool(build);
        return pool == null ? 0 : pool.newestStartTicks();
    }

    private Verdict verdict() {
        if (rollout.judgedBuild(now) != rollout.announcedBuild()) {
            return Verdict.NONE;
        }
        reason = rollout.baselineBuild() == rollout.announcedBuild()
                ? null
                : against(rollout.announcedBuild(), rollout.baselineBuild());
        if (reason != null) {
            return Verdict.ROLL_BACK;
        }
        boolean waited = now >= Math.max(rollout.stageStartedAtTicks(), newest(rollout.announcedBuild())) + READY;
        boolean on = rollout.phase() == RolloutPhase.CANARY
                && waited
                && set.rollout().promotionPolicy() != PromotionPolicy.AUTOMATIC;
        return on ? Verdict.PROMOTE : Verdict.NONE;
    }

    private Action.CastVote wantedVote() {
        boolean waits = asked != null && now < askedAt + set.rollout().voteTimeoutTicks() + SECOND / 2;
        if (rollout.announcedBuild() < 0 || now < nextVerdict || waits) {
            return null;
        }
        nextVerdict = now + SECOND / 4;
        Verdict v = verdict();
        boolean same = stands != null
                && stands.build() == rollout.announcedBuild()
                && stands.verdict() == v
                && (v != Verdict.PROMOTE || stands.stage() == rollout.stage());
        if (v == Verdict.NONE || (same && now < stoodAt + set.rollout().voteLifetimeTicks() * 6 / 10)) {
            return null;
        }
        return new Action.CastVote(rollout.announcedBuild(), rollout.stage(), v);
    }

    // ---- wanted against present

    private void emit(Action.CastVote vote) {
        for (ActiveRequest request : requests.pending()) {
            settle(request);
        }
        requests.clearPending();
        if (vote != null) {
            asked = vote;
            askedAt = now;
            nextVerdict = now + SECOND / 2;
            out.add(vote);
            if (vote.verdict() == Verdict.ROLL_BACK) {
                out.add(new Action.WriteLog("votes back on build " + vote.build() + ": " + reason));
            }
        }
        if (poller.startPoll(now)) {
            out.add(new Action.WatchEndpoints(true));
        }
        long wake = Math.min(nextTick, deadlines.nextAtTicks());
        if (wake < armedFor) {
            armedFor = wake;
            out.add(new Action.StartTimer(wake, 0));
        }
    }

    private void settle(ActiveRequest request) {
        if (request.isFinalAnswerDue() && !request.isFinished()) {
            out.add(
                    retryPolicy.mayReject(request, now)
                            ? new Action.RejectRequest(
                                    request.id(), set.capabilities().maxRetryAfterTicks())
                            : new Action.FailRequest(request.id()));
            request.finish();
            String key = request.partitionKey();
            if (key != null) {
                clientRetries.requestUnserved(key, now);
            }
        }
        Attempt attempt = request.attemptInFlight();
        if (attempt != null && request.needsCancellation() && set.capabilities().cancellation()) {
            request.cancellationRequested();
            out.add(new Action.CancelAttempt(request.id(), attempt.number()));
        }
        Endpoint endpoint = request.plannedEndpoint();
        if (endpoint != null && !request.isFinished()) {
            request.attemptSent(new Attempt(
                    request.attemptCount(),
                    endpoint,
                    now,
                    endpoint.isSettled(now),
                    endpoint.inFlight(),
                    RouteLatency.concurrencyLevel(endpoint.knownRequests())));
            String key = request.partitionKey();
            if (key != null && rollout.bindsKeys(endpoint.build())) {
                stickyKeys.attemptSent(key, endpoint.build());
            }
            out.add(new Action.SendAttempt(request.id(), endpoint.id(), request.plannedTimeoutTicks()));
        }
        request.clearPlan();
        if (request.isDone()) {
            requests.remove(request);
        }
    }

    private void tidy() {
        throughput.update(now);
        exposure.forgetOld(now);
        endpoints.updateWarmUpBudgets(now);
        seconds.headMap((now - MEMORY) / SECOND).clear();
        counted.headMap((now - MEMORY) / SECOND).clear();
        clientRetries.forgetOld(now);
    }
}

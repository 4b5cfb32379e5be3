package laurelkeel.decision;

import java.util.ArrayList;
import java.util.List;
import laurelkeel.api.Action;
import laurelkeel.api.Decider;
import laurelkeel.api.Event;
import laurelkeel.api.Event.AttemptEnded;
import laurelkeel.api.Event.BuildStatistics;
import laurelkeel.api.Event.ClientDisconnected;
import laurelkeel.api.Event.ComplaintReceived;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Event.EndpointListUpdate;
import laurelkeel.api.Event.RequestReceived;
import laurelkeel.api.Event.RolloutUpdate;
import laurelkeel.api.Event.TimerFired;
import laurelkeel.api.Settings;
import laurelkeel.api.Ticks;
import laurelkeel.api.WritePermission;

/**
 * Makes all decisions of one front node: where each request is sent, when it is retried, rejected or failed, and how
 * the node votes on a rollout.
 *
 * <p>This class contains no rules of its own. It passes events to the other classes of this package, triggers their
 * scheduled work, and collects their actions.
 *
 * <p>Instances share no state and are not thread-safe; calls must not overlap. The only time source is the caller.
 */
public final class RoutingDecider implements Decider {
    private static final long HOUSEKEEPING_INTERVAL_TICKS = Ticks.PER_SECOND / 10;
    private static final long TIMER_ID = 0;

    private final EndpointRegistry endpoints;
    private final EndpointPoller endpointPoller;
    private final OwnThroughput throughput;
    private final LatencyModel latency;
    private final AdmissionController admission;
    private final RolloutState rollout;
    private final StickyKeys stickyKeys = new StickyKeys();
    private final CanaryRamp canaryRamp = new CanaryRamp();
    private final ExposureLimiter exposure;
    private final RequestLifecycle requests;
    private final OutcomeHistory ownOutcomes;
    private final OutcomeHistory allNodesOutcomes;
    private final RolloutVoter voter;

    private final List<Action> actions = new ArrayList<>();
    private long nextHousekeepingAtTicks;
    private long timerDueAtTicks = DeadlineQueue.NEVER;

    /**
     * Creates the decider of a node that starts.
     *
     * @param seed the seed of the random numbers of this node
     */
    public RoutingDecider(Settings settings, long seed) {
        int routeCount = settings.routes().size();
        SeededRandom random = new SeededRandom(seed);
        SlowStart slowStart = new SlowStart(settings.limits());
        endpoints = new EndpointRegistry(settings, random, slowStart);
        endpointPoller = new EndpointPoller(
                settings.capabilities().endpointPolling(), settings.limits().maxEndpointListAgeTicks());
        throughput = new OwnThroughput(OwnThroughput.assumedAnswersPerSecond(settings));
        latency = new LatencyModel(settings.routes());
        admission = new AdmissionController(settings, latency);

        rollout = new RolloutState(settings.rollout());
        exposure = new ExposureLimiter(settings.rollout(), routeCount);
        RetryPolicy retryPolicy = new RetryPolicy(settings.capabilities().maxAttempts());
        EndpointPicker picker = new EndpointPicker(endpoints, retryPolicy, slowStart, throughput);
        BuildRouter router = new BuildRouter(rollout, stickyKeys, canaryRamp, exposure, picker::pick);

        ownOutcomes = new OutcomeHistory(routeCount);
        allNodesOutcomes = new OutcomeHistory(routeCount);
        OutcomeRecorder recorder = new OutcomeRecorder(rollout, slowStart, latency, throughput, ownOutcomes);
        requests = new RequestLifecycle(settings, random, router, latency, retryPolicy, admission, recorder);

        BuildComparison comparison = new BuildComparison(settings, ownOutcomes, allNodesOutcomes);
        voter = new RolloutVoter(
                settings.rollout(),
                rollout,
                (candidate, baseline, isBaselineServing, nowTicks) -> comparison.findRegression(
                        candidate, baseline, isBaselineServing, endpoints.activeEndpoints(candidate), nowTicks),
                endpoints::newestStartTicks);
    }

    @Override
    public List<Action> decide(long nowTicks, List<Event> events) {
        actions.clear();
        for (Event event : events) {
            handle(event, nowTicks);
        }
        selectBuilds(nowTicks);
        requests.markDueRequestsPending(nowTicks);
        if (nowTicks >= nextHousekeepingAtTicks) {
            nextHousekeepingAtTicks = nowTicks + HOUSEKEEPING_INTERVAL_TICKS;
            runHousekeeping(nowTicks);
        }
        requests.plan(nowTicks);
        RolloutVoter.Vote vote = voter.nextVote(nowTicks);
        requests.execute(actions, nowTicks);
        if (vote != null) {
            cast(vote);
        }
        if (endpointPoller.startPoll(nowTicks)) {
            actions.add(new Action.WatchEndpoints(true));
        }
        startTimer();
        return List.copyOf(actions);
    }

    @Override
    public WritePermission mayWrite(String requestId, int attempt, long nowTicks) {
        return requests.mayWrite(requestId, attempt, nowTicks);
    }

    private void handle(Event event, long nowTicks) {
        if (event instanceof RequestReceived received) {
            requests.requestReceived(received, nowTicks);
        } else if (event instanceof AttemptEnded ended) {
            requests.attemptEnded(ended, nowTicks);
        } else if (event instanceof ClientDisconnected disconnected) {
            requests.clientDisconnected(disconnected.requestId());
        } else if (event instanceof EndpointListUpdate update) {
            updateEndpoints(update, nowTicks);
        } else if (event instanceof RolloutUpdate update) {
            updateRollout(update, nowTicks);
        } else if (event instanceof ComplaintReceived complaint) {
            recordComplaint(complaint, nowTicks);
        } else if (event instanceof BuildStatistics statistics) {
            recordStatistics(statistics, nowTicks);
        } else if (event instanceof TimerFired) {
            timerDueAtTicks = DeadlineQueue.NEVER;
        }
        // the events ResponseStarted, HealthCheckEnded and GossipReceived are not used here
    }

    private void updateEndpoints(EndpointListUpdate update, long nowTicks) {
        endpointPoller.updateReceived(update.kind(), nowTicks);
        if (update.kind() != EndpointListKind.FAILED) {
            endpoints.apply(update, nowTicks);
        }
    }

    private void updateRollout(RolloutUpdate update, long nowTicks) {
        if (update.answersVote()) {
            voter.voteResponseReceived(update.status());
        }
        if (rollout.isOvertaken(update, nowTicks)) {
            actions.add(new Action.WriteLog("build " + update.build() + " stays " + rollout.phase() + ": an update to "
                    + update.phase() + " was overtaken"));
        }
        if (!rollout.isCurrent(update, nowTicks)) {
            return;
        }
        if (rollout.apply(update, nowTicks)) {
            actions.add(
                    new Action.WriteLog("build " + update.build() + " stage " + update.stage() + " " + update.phase()));
        }
        switch (update.phase()) {
            case ROLLING_BACK, ROLLED_BACK -> stickyKeys.buildRolledBack(update.build());
            case RELEASED -> stickyKeys.buildReleased(update.build());
            case CANARY -> {}
        }
    }

    private void recordComplaint(ComplaintReceived complaint, long nowTicks) {
        Endpoint endpoint = endpoints.find(complaint.endpointId());
        if (endpoint != null) {
            ownOutcomes
                    .bucketAt(nowTicks - complaint.sentAgoTicks())
                    .outcomes(endpoint.build(), complaint.route())
                    .addComplaint();
        }
    }

    private void recordStatistics(BuildStatistics statistics, long nowTicks) {
        allNodesOutcomes
                .bucketAt(nowTicks - statistics.ageTicks())
                .outcomes(statistics.build(), statistics.route())
                .addAttempts(statistics.attempts(), statistics.errors());
    }

    private void selectBuilds(long nowTicks) {
        rollout.selectBuilds(endpoints, nowTicks);
        throughput.observeCapacity(endpoints.activeCapacity());
        canaryRamp.observe(rollout.canaryBuild(), endpoints.currentCapacity(rollout.stableBuild(), nowTicks));
    }

    /** Runs the periodic updates that are not needed at every decision. */
    private void runHousekeeping(long nowTicks) {
        throughput.update(nowTicks);
        exposure.removeExpired(nowTicks);
        endpoints.updateWarmUpBudgets(nowTicks);
        ownOutcomes.removeExpired(nowTicks);
        allNodesOutcomes.removeExpired(nowTicks);
        requests.removeExpired(nowTicks);
        endpoints.markErrorOutliers();
        endpoints.adaptSubsets(latency.inFlight(), admission.areAttemptsQueueing(), nowTicks);
        if (rollout.hasCanary()) {
            canaryRamp.raise(
                    rollout.exposureCap(),
                    endpoints.currentCapacity(rollout.canaryBuild(), nowTicks),
                    endpoints.currentCapacity(rollout.stableBuild(), nowTicks));
        }
    }

    private void cast(RolloutVoter.Vote vote) {
        actions.add(vote.action());
        Regression regression = vote.regression();
        if (regression != null) {
            actions.add(new Action.WriteLog(
                    "votes to roll back build " + vote.action().build() + ": " + regression.describe()));
        }
    }

    /** Starts a timer for the next scheduled work, unless a running timer is due at that time or earlier. */
    private void startTimer() {
        long dueAtTicks = Math.min(nextHousekeepingAtTicks, requests.nextCheckAtTicks());
        if (dueAtTicks < timerDueAtTicks) {
            timerDueAtTicks = dueAtTicks;
            actions.add(new Action.StartTimer(dueAtTicks, TIMER_ID));
        }
    }
}

package laurelkeel.partition;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import laurelkeel.api.Action;
import laurelkeel.api.Decider;
import laurelkeel.api.Event;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.Event.RolloutUpdate;
import laurelkeel.api.LoadReport;
import laurelkeel.api.Settings;
import laurelkeel.api.WritePermission;
import laurelkeel.api.WritePermission.Refusal;

/**
 * Runs several concurrent rollouts behind one front node: divides the requests into partitions, one for each rollout,
 * and runs one decider for each partition.
 *
 * <p>Only the rollout's build and the baseline are visible to a partition's decider, as if there were no other rollout.
 * The decider itself enforces the cap, window, guarded stages and sticky keys of that rollout. This class routes each
 * event to the deciders that it concerns and forwards their actions. It withholds two kinds of actions: attempts that
 * are forbidden by the state of all partitions together, which no single decider knows, and votes that wait for the
 * attribution of a regression. It also replaces timer ids and attempt numbers, and forwards subscriptions to the
 * endpoint list from the first partition only. With one partition since the start, all events go to its decider and its
 * actions are forwarded unchanged.
 *
 * <p>Not thread-safe: called by one thread at a time, like every {@link Decider}.
 */
public final class PartitionedDecider implements Decider {
    /**
     * The maximum number of concurrent rollouts; the build of a further one receives no requests until another rollout
     * ends.
     */
    public static final int MAX_ROLLOUTS = 3;

    /** Whether a regression is attributed to a rollout, according to the reports of all nodes. */
    public enum Attribution {
        /** The build has no attribution so far. */
        NONE,
        /** A regression is attributed to the build, which is to be rolled back. */
        GUILTY,
        /** The build causes no regression. */
        CLEARED,
        /** There is a regression, and the build may be its cause. */
        OPEN,
        /** The build is to be rolled back to determine whether the regression ends as a result. */
        SET_ASIDE
    }

    private final ConcurrentRollouts rollouts;
    private final EndpointTable endpoints = new EndpointTable();
    private final OwnedRequestTable requests = new OwnedRequestTable();
    private final PartitionSet partitions;
    private final PartitionManager partitionManager;
    private final PartitionAssigner assigner;
    private final StickyKeyBindings keyBindings;
    private final SharedExposureLimiter exposureLimiter;
    private final SharedAttemptRules attemptRules;
    private final VoteGate voteGate;

    private final List<Action> actions = new ArrayList<>();
    private long nowTicks;
    private int sharedComplaintCount;
    private boolean attemptSuppressed;

    /**
     * Creates a decider that has one partition.
     *
     * @param seed the seed of the node's own random numbers; the first partition's decider gets it unchanged
     * @param deciders creates the decider of each partition
     */
    public PartitionedDecider(Settings settings, long seed, Factory deciders) {
        Settings.Rollout rollout = settings.rollout();
        rollouts = new ConcurrentRollouts(rollout.stageExposureCaps());
        partitions = new PartitionSet(settings, seed, deciders);
        partitionManager = new PartitionManager(partitions, rollouts, endpoints, rollout.guardedStages(), MAX_ROLLOUTS);
        assigner = new PartitionAssigner(seed);
        keyBindings = new StickyKeyBindings(rollout.stickyKeys(), rollouts);
        exposureLimiter = new SharedExposureLimiter(settings);
        attemptRules = new SharedAttemptRules(rollouts, partitions, keyBindings, exposureLimiter);
        voteGate = new VoteGate(rollout.voteLifetimeTicks());
    }

    /** Returns the number of partitions that take requests. */
    public int openPartitions() {
        return partitions.openCount();
    }

    /** Returns the number of sticky keys that are bound to a partition. */
    int boundKeyCount() {
        return keyBindings.size();
    }

    /** Sets whether a regression is attributed to a build; takes effect with the next decision. */
    public void attribute(int build, Attribution attribution) {
        voteGate.setAttribution(build, attribution);
    }

    @Override
    public List<Action> decide(long nowTicks, List<Event> events) {
        this.nowTicks = nowTicks;
        actions.clear();
        events.forEach(this::accept);
        partitionManager.refreshBaselines();
        actions.addAll(voteGate.rollBackVotes(rollouts, nowTicks));
        for (TrafficPartition partition : partitions) {
            if (partition.hasPendingEvents() || partitions.isSingle()) {
                runDecider(partition);
            }
        }
        partitions.removeDrained();
        return List.copyOf(actions);
    }

    @Override
    public WritePermission mayWrite(String requestId, int attempt, long nowTicks) {
        OwnedRequest request = requests.find(requestId);
        if (request == null) {
            return partitions.first().mayWrite(requestId, attempt, nowTicks);
        }
        Refusal refusal = attemptRules.refusalToWrite(request, nowTicks);
        return refusal == null
                ? request.partition().mayWrite(requestId, request.toPartitionAttempt(attempt), nowTicks)
                : WritePermission.refused(refusal);
    }

    private void runDecider(TrafficPartition partition) {
        announceCap(partition);
        do {
            attemptSuppressed = false;
            for (Action action : partition.decide(nowTicks)) {
                perform(partition, action);
            }
            // a request whose attempt was suppressed is routed again or answered in the same decision
        } while (attemptSuppressed);
    }

    private void announceCap(TrafficPartition partition) {
        RolloutRecord rollout = rollouts.find(partition.rolloutBuild());
        if (rollout == null || !rollout.isCanary()) {
            return;
        }
        double cap = partitions.isSingle()
                ? rollout.exposureCap()
                : exposureLimiter.partitionCap(
                        rollout.exposureCap(), partition.acceptedRequests(), partitions.openCount(), nowTicks);
        partition.announceCap(rollout, cap);
    }

    private void accept(Event event) {
        if (event instanceof Event.RequestReceived received) {
            acceptRequest(received);
        } else if (event instanceof Event.AttemptEnded ended) {
            acceptAttemptEnd(ended);
        } else if (event instanceof Event.ResponseStarted started) {
            acceptResponseStart(started);
        } else if (event instanceof Event.ClientDisconnected disconnected) {
            ownerOf(disconnected.requestId()).enqueue(event);
            requests.onAnswered(disconnected.requestId());
        } else if (event instanceof Event.TimerFired timer) {
            // timers carry the id of their partition; its decider does not distinguish between timers
            enqueueIf(partition -> partition.id() == timer.timerId(), new Event.TimerFired(0));
        } else if (event instanceof Event.EndpointListUpdate update) {
            endpoints.apply(update);
            partitionManager.onEndpointListUpdate(update);
        } else if (event instanceof RolloutUpdate update) {
            acceptRolloutUpdate(update);
        } else if (event instanceof Event.ComplaintReceived complaint) {
            acceptComplaint(complaint);
        } else if (event instanceof Event.HealthCheckEnded ended) {
            enqueueIf(partition -> partitions.isSingle() || partition.isVisible(ended.endpointId()), event);
        } else if (event instanceof Event.BuildStatistics statistics) {
            enqueueIf(partition -> isRelevant(statistics, partition), event);
        } else {
            enqueueIf(partition -> true, event);
        }
    }

    private void enqueueIf(Predicate<TrafficPartition> isConcerned, Event event) {
        for (TrafficPartition partition : partitions) {
            if (isConcerned.test(partition)) {
                partition.enqueue(event);
            }
        }
    }

    private static boolean isRelevant(Event.BuildStatistics statistics, TrafficPartition partition) {
        return partition.rolloutBuild() == ConcurrentRollouts.NO_BUILD
                || partition.rolloutBuild() == statistics.build()
                || partition.baselineBuild() == statistics.build();
    }

    private TrafficPartition ownerOf(String requestId) {
        OwnedRequest request = requests.find(requestId);
        return request == null ? partitions.first() : request.partition();
    }

    private void acceptRequest(Event.RequestReceived received) {
        TrafficPartition owner = assign(received);
        exposureLimiter.onRequestReceived(received.route(), nowTicks);
        requests.add(received, owner, nowTicks);
        owner.enqueue(received);
    }

    /**
     * Assigns a request to a partition. A key stays in the partition that served it as long as that partition is open.
     */
    private TrafficPartition assign(Event.RequestReceived received) {
        if (partitions.isSingle()) {
            return partitions.first();
        }
        String key = received.partitionKey();
        TrafficPartition bound = partitions.findOpen(keyBindings.partitionOf(key));
        return bound != null ? bound : partitions.openAt(assigner.assign(key, partitions.openCount()));
    }

    private void acceptAttemptEnd(Event.AttemptEnded ended) {
        OwnedRequest request = requests.find(ended.requestId());
        if (request == null) {
            partitions.first().enqueue(ended);
            return;
        }
        TrafficPartition owner = request.partition();
        owner.enqueue(request.withPartitionNumbering(ended));
        keyBindings.onAttemptEnded(
                request.key(),
                request.lastAttemptBuild(),
                owner.id(),
                ended.outcome().mayHaveServed());
        requests.onAttemptEnded(request, ended);
    }

    private void acceptResponseStart(Event.ResponseStarted started) {
        OwnedRequest request = requests.find(started.requestId());
        if (request == null) {
            partitions.first().enqueue(started);
            return;
        }
        int attempt = request.toPartitionAttempt(started.attempt());
        request.partition().enqueue(new Event.ResponseStarted(started.requestId(), attempt));
    }

    private void acceptRolloutUpdate(RolloutUpdate update) {
        if (update.answersVote() && update.status() != ControlStatus.OK) {
            // the build is the one that was voted on, or 0 if it is unknown
            enqueueIf(
                    partition ->
                            partitions.isSingle() || update.build() == 0 || partition.rolloutBuild() == update.build(),
                    update);
            return;
        }
        if (rollouts.isOvertaken(update, nowTicks)) {
            // it may be the reply that the decider of this rollout awaits, which ignores the state in it
            enqueueIf(partition -> partition.rolloutBuild() == update.build(), update);
            return;
        }
        boolean changed = rollouts.apply(update, nowTicks);
        if (!rollouts.isCanary(update.build())) {
            voteGate.removeBuild(update.build());
            if (changed) {
                keyBindings.removeEndedRollouts();
                exposureLimiter.retainBuilds(rollouts::bindsStickyKeys);
            }
        }
        partitionManager.onRolloutUpdate(update, changed);
    }

    /**
     * Forwards a complaint. It identifies the endpoint but not the request, so partitions that share the endpoint
     * receive its complaints in turn.
     */
    private void acceptComplaint(Event.ComplaintReceived complaint) {
        if (partitions.isSingle()) {
            partitions.first().enqueue(complaint);
            return;
        }
        List<TrafficPartition> sharing = new ArrayList<>();
        for (TrafficPartition partition : partitions) {
            if (!partition.isClosing() && partition.isVisible(complaint.endpointId())) {
                sharing.add(partition);
            }
        }
        if (!sharing.isEmpty()) {
            sharing.get(sharedComplaintCount % sharing.size()).enqueue(complaint);
            sharedComplaintCount++;
        }
    }

    private void perform(TrafficPartition partition, Action action) {
        if (action instanceof Action.SendAttempt send) {
            sendOrSuppress(partition, send);
        } else if (action instanceof Action.RejectRequest reject) {
            requests.onAnswered(reject.requestId());
            actions.add(action);
        } else if (action instanceof Action.FailRequest fail) {
            requests.onAnswered(fail.requestId());
            actions.add(action);
        } else if (action instanceof Action.CancelAttempt cancel) {
            OwnedRequest request = requests.find(cancel.requestId());
            actions.add(
                    request == null
                            ? action
                            : new Action.CancelAttempt(cancel.requestId(), request.toNodeAttempt(cancel.attempt())));
        } else if (action instanceof Action.StartTimer timer) {
            actions.add(new Action.StartTimer(timer.dueAtTicks(), partition.id()));
        } else if (action instanceof Action.CastVote vote) {
            castOrWithhold(partition, vote);
        } else if (action instanceof Action.WatchEndpoints || action instanceof Action.FetchEndpoints) {
            // the first partition watches the endpoint list on behalf of all partitions
            if (partition == partitions.first()) {
                actions.add(action);
            }
        } else if (action instanceof Action.WriteLog log) {
            actions.add(
                    partitions.isSingle()
                            ? log
                            : new Action.WriteLog("partition " + partition.id() + ": " + log.message()));
        } else {
            actions.add(action);
        }
    }

    /** Forwards an attempt, or reports to its decider that the attempt was not sent. */
    private void sendOrSuppress(TrafficPartition partition, Action.SendAttempt send) {
        OwnedRequest request = requests.find(send.requestId());
        if (request == null) {
            actions.add(send);
            return;
        }
        int build = endpoints.buildOf(send.endpointId());
        if (!attemptRules.admit(request, build, nowTicks)) {
            partition.enqueue(new Event.AttemptEnded(
                    send.requestId(),
                    request.suppressAttempt(),
                    send.endpointId(),
                    AttemptOutcome.NOT_SENT,
                    0,
                    request.isAnswered(),
                    LoadReport.NONE));
            attemptSuppressed = true;
            return;
        }
        request.onAttemptSent(build);
        keyBindings.onAttemptSent(request.key(), build);
        actions.add(send);
    }

    private void castOrWithhold(TrafficPartition partition, Action.CastVote vote) {
        String reason = partitions.openCount() == 1 ? null : voteGate.reasonToWithhold(vote, nowTicks);
        if (reason == null) {
            actions.add(vote);
            return;
        }
        // as if the control service had refused the vote: the decider repeats it as long as its verdict is the same
        partition.enqueue(new RolloutUpdate(ControlStatus.STALE, 0, 0, 0, RolloutPhase.CANARY, 0, true));
        actions.add(new Action.WriteLog("vote on build " + vote.build() + " stage " + vote.stage() + ", "
                + vote.verdict() + ", withheld: " + reason));
    }
}

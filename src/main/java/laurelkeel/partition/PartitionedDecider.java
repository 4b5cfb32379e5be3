package laurelkeel.partition;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
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

/**
 * Runs several concurrent rollouts behind one front node: divides the requests into partitions, one for each rollout,
 * and runs one decider for each partition.
 *
 * <p>A partition's decider is shown its rollout's build and the baseline beside it, as if no other rollout were there,
 * and keeps that rollout's cap, window, guarded stages and sticky keys by itself. This class routes each event to the
 * deciders that it concerns, and passes their actions on, except for attempts that only all partitions together show to
 * be forbidden and votes that await the attribution of a regression. With one rollout all events go to one decider, and
 * all its actions are passed on unchanged.
 *
 * <p>Not thread-safe: called by one thread at a time, as every {@link Decider}.
 */
public final class PartitionedDecider implements Decider {
    /** The most rollouts at once; the build of a further one gets no requests until another rollout ends. */
    public static final int MAX_ROLLOUTS = 3;

    /** Whether a regression is attributed to one rollout, by the reports of all nodes. */
    public enum Attribution {
        /** Nothing is known. */
        NONE,
        /** A regression is attributed to it: it is to be rolled back. */
        GUILTY,
        /** It causes no regression. */
        CLEARED,
        /** There is a regression, and it may be the cause. */
        OPEN,
        /** It is to be rolled back to show whether the regression ends with it. */
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
    private final VoteGate voteGate;

    private final List<Action> actions = new ArrayList<>();
    private long nowTicks;
    private int sharedComplaintCount;
    private boolean attemptSuppressed;

    /**
     * Starts with one partition.
     *
     * @param seed of the node's own random draws; the first partition's decider gets it unchanged
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
        voteGate = new VoteGate(rollout.voteLifetimeTicks());
    }

    /** How many partitions take requests. */
    public int openPartitions() {
        return partitions.openCount();
    }

    /** How many sticky keys are bound to a partition. */
    int boundKeyCount() {
        return keyBindings.size();
    }

    /** Sets what is known of a build's part in a regression; it counts from the next decision on. */
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

    private void runDecider(TrafficPartition partition) {
        announceCap(partition);
        do {
            attemptSuppressed = false;
            for (Action action : partition.decide(nowTicks)) {
                perform(partition, action);
            }
            // a request whose attempt was suppressed is routed anew or answered at the same moment
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
            // a partition's timers carry its id; its decider takes any timer as its turn
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

    private void enqueueIf(Predicate<TrafficPartition> concerned, Event event) {
        for (TrafficPartition partition : partitions) {
            if (concerned.test(partition)) {
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

    /** A key stays in the partition that served it while that one is open. */
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
            // it names the build that the vote was for, or 0
            enqueueIf(
                    partition ->
                            partitions.isSingle() || update.build() == 0 || partition.rolloutBuild() == update.build(),
                    update);
            return;
        }
        boolean changed = rollouts.apply(update);
        if (!rollouts.isCanary(update.build())) {
            voteGate.forget(update.build());
            if (changed) {
                keyBindings.forgetEndedRollouts();
                exposureLimiter.retainBuilds(rollouts::bindsStickyKeys);
            }
        }
        partitionManager.onRolloutUpdate(update, changed);
    }

    /** A complaint names an endpoint only; partitions that share the endpoint get its complaints in turn. */
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
            // the first partition follows the endpoint list for all
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

    /** Passes an attempt on, or reports to its decider that it was not sent. */
    private void sendOrSuppress(TrafficPartition partition, Action.SendAttempt send) {
        OwnedRequest request = requests.find(send.requestId());
        if (request == null) {
            actions.add(send);
            return;
        }
        int build = endpoints.buildOf(send.endpointId());
        if (isServedByLaterBuild(request, build, partition) || !tryAcquireExposure(request, build)) {
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

    private boolean isServedByLaterBuild(OwnedRequest request, int build, TrafficPartition partition) {
        return keyBindings.isServedByLaterBuild(request.key(), build, partition.id(), !partitions.isSingle());
    }

    private boolean tryAcquireExposure(OwnedRequest request, int build) {
        OptionalDouble cap = rollouts.exposureCap(build);
        return cap.isEmpty()
                || exposureLimiter.tryAcquire(
                        build, request.route(), cap.getAsDouble(), !partitions.isSingle(), nowTicks);
    }

    private void castOrWithhold(TrafficPartition partition, Action.CastVote vote) {
        String reason = partitions.openCount() == 1 ? null : voteGate.reasonToWithhold(vote, nowTicks);
        if (reason == null) {
            actions.add(vote);
            return;
        }
        // as if the control service had refused it: the decider votes again while it finds the same
        partition.enqueue(new RolloutUpdate(ControlStatus.STALE, 0, 0, 0, RolloutPhase.CANARY, 0, true));
        actions.add(new Action.WriteLog("vote on build " + vote.build() + " stage " + vote.stage() + " withheld: "
                + vote.verdict() + ", " + reason));
    }
}

package laurelkeel.testbed;

import java.util.ArrayDeque;
import laurelkeel.records.RecordTerms.Idempotency;
import laurelkeel.records.TrafficRecord;
import laurelkeel.wire.HeaderNames;

/** The cores of a simulated server and the queue in front of them. Not thread-safe; used on the fleet's loop. */
final class ServerWorkers {
    private static final long DEFAULT_WORK_TICKS = 100;
    private static final long REPEAT_WORK_TICKS = 10;

    /** Listener for finished work. */
    interface Listener {
        /**
         * Called when the work on a request has ended.
         *
         * @param wasBusy whether all cores, including this request's, were in use when the work began
         */
        void workFinished(ServerRequest request, boolean wasBusy);
    }

    private final SimulatedServer server;
    private final SimulatedFleet fleet;
    private final ServerProfile profile;
    private final LoadMeter loadMeter;
    private final Listener listener;
    private final KeyCache keyCache;
    private final ArrayDeque<ServerRequest> queue = new ArrayDeque<>();
    private int busyCores;

    ServerWorkers(SimulatedServer server, SimulatedFleet fleet, LoadMeter loadMeter, Listener listener) {
        this.server = server;
        this.fleet = fleet;
        this.profile = fleet.profile();
        this.loadMeter = loadMeter;
        this.listener = listener;
        this.keyCache = new KeyCache(profile.keyCacheTicks());
    }

    /** Returns the number of requests queued or being worked on. */
    int inFlight() {
        return busyCores + queue.size();
    }

    boolean isFull() {
        return queue.size() >= profile.queueLimit() && allCoresBusy();
    }

    private boolean allCoresBusy() {
        return busyCores >= profile.cores();
    }

    void enqueue(ServerRequest request) {
        queue.addLast(request);
        startQueued();
    }

    private void startQueued() {
        while (!allCoresBusy() && !queue.isEmpty()) {
            ServerRequest request = queue.removeFirst();
            if (!request.isAbandoned) {
                start(request);
            }
        }
    }

    private void start(ServerRequest request) {
        busyCores++;
        boolean isBusy = allCoresBusy();
        boolean isRepeat = isRepeat(request);
        fleet.record(new TrafficRecord.AttemptExecuted(
                fleet.recordTicks(),
                server.endpointId,
                server.incarnation,
                request.requestId,
                request.attemptNumber,
                isRepeat));
        long workTicks = isRepeat ? REPEAT_WORK_TICKS : workTicks(request);
        request.workTimer =
                fleet.loop.schedule(fleet.loop.nowTicks() + workTicks, () -> finish(request, workTicks, isBusy));
    }

    private boolean isRepeat(ServerRequest request) {
        TrafficRecord.RoutePolicy policy = profile.routePolicies().get(request.route);
        String idempotencyKey = request.message.headers().get(HeaderNames.IDEMPOTENCY_KEY);
        return policy != null
                && policy.idempotency() == Idempotency.DEDUPLICATED
                && idempotencyKey != null
                && fleet.deduplicationCache(policy.deduplicationScope(), server)
                        .isRepeat(idempotencyKey, fleet.loop.nowTicks(), policy.deduplicationWindowTicks());
    }

    private long workTicks(ServerRequest request) {
        long nowTicks = fleet.loop.nowTicks();
        BuildProfile build = server.build;
        boolean isSaturated = allCoresBusy() && !queue.isEmpty();
        double ticks = profile.workTicks().getOrDefault(request.route, DEFAULT_WORK_TICKS)
                * build.workFactor()
                * (0.5 + fleet.nextRandom())
                * (isSaturated ? build.busyWorkFactor() : 1);
        String partitionKey = request.message.headers().get(HeaderNames.PARTITION_KEY);
        if (partitionKey != null && keyCache.touch(partitionKey, nowTicks)) {
            ticks *= 1 - profile.cachedKeySavings();
        }
        ticks *= server.faults().slowFactor(nowTicks);
        ticks *= fleet.slowdown();
        return Math.max(1, (long) (ticks / server.warmUp().capacityShare(nowTicks)));
    }

    private void finish(ServerRequest request, long workTicks, boolean wasBusy) {
        request.workTimer = null;
        busyCores--;
        loadMeter.addWork(workTicks);
        startQueued();
        listener.workFinished(request, wasBusy);
    }

    /** Stops the work on a request whose peer has disconnected. */
    void abandon(ServerRequest request) {
        request.isAbandoned = true;
        if (request.workTimer != null) {
            request.workTimer.cancel();
            busyCores--;
            startQueued();
        }
    }
}

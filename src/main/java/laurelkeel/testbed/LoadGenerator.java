package laurelkeel.testbed;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.records.RecordClock;
import laurelkeel.records.RecordTerms.Outcome;
import laurelkeel.records.TrafficRecord;
import laurelkeel.wire.HeaderNames;
import laurelkeel.wire.Headers;
import laurelkeel.wire.HttpRequest;
import laurelkeel.wire.HttpResponse;
import org.jspecify.annotations.Nullable;

/**
 * Simulated clients of the nodes. Calls arrive at random times independent of the responses (open loop). They have
 * deadlines, tenants and partition keys with a skewed popularity; they are retried if the rejection or the route allows
 * it, and some are abandoned early. Everything but the socket I/O happens on the loop's thread, on which all methods
 * must be called.
 */
public final class LoadGenerator {
    /** How long after its deadline a client still accepts a response, because it may have been sent in time. */
    private static final long READ_TOLERANCE_TICKS = 200;
    /** Subtracted from the remaining time that a client sends, for the network round trip on a host that may stall. */
    private static final long ROUND_TRIP_ALLOWANCE_TICKS = 1_000;

    private static final long MIN_ANNOUNCED_TICKS = 10;
    private static final long MAX_EARLY_CLOSE_TICKS = 400;
    private static final long COMPLAINT_DELAY_TICKS = 3_000;
    private static final long COMPLAINT_TIMEOUT_TICKS = 10_000;
    private static final String COMPLAINT_PATH = "/.laurelkeel/complaints";
    /** Delay before a retry if the rejection does not specify one. */
    private static final long REJECTION_RETRY_TICKS = 100;

    private static final long FAILURE_RETRY_TICKS = 200;
    private static final int MAX_CONNECT_FAILURES = 6;
    private static final int HTTP_MINOR_VERSION = 1;

    private final EventLoop loop;
    private final LoadProfile profile;
    private final Consumer<TrafficRecord> records;
    private final LoadSampler sampler;
    private final ClientConnectionPool connections;
    private final Map<String, RouteStatistics> statistics = new HashMap<>();
    private long nextId;
    private int openRequests;
    private boolean isRunning;
    /** The scheduled time of the last call; 0 before the first. */
    private long lastArrivalTicks;

    /**
     * Creates a load generator that has not started.
     *
     * @param nodeAddresses addresses of the nodes, by node index
     */
    public LoadGenerator(
            EventLoop loop,
            LoadProfile profile,
            List<InetSocketAddress> nodeAddresses,
            long seed,
            Consumer<TrafficRecord> records) {
        this.loop = loop;
        this.profile = profile;
        this.records = records;
        this.sampler = new LoadSampler(profile, nodeAddresses.size(), seed);
        this.connections = new ClientConnectionPool(loop, nodeAddresses, new ConnectionListener());
        for (LoadRoute route : profile.routes()) {
            statistics.put(route.name(), new RouteStatistics());
        }
    }

    /** Starts making calls. */
    public void start() {
        isRunning = true;
        scheduleNextCall();
    }

    /** Starts no further calls and schedules no further retries; open requests end by their deadlines. */
    public void stop() {
        isRunning = false;
    }

    /** Closes all connections. */
    public void close() {
        connections.close();
    }

    /** Returns the number of requests that have not ended. */
    public int openRequests() {
        return openRequests;
    }

    /** Returns the statistics by route name. */
    public Map<String, RouteStatistics> statistics() {
        return statistics;
    }

    /** Sets a factor on the profile's call rate from now on. */
    public void setRateFactor(double rateFactor) {
        sampler.setRateFactor(rateFactor);
    }

    /** Sends a share of all requests to one node from now on; 0 for an even spread. */
    public void setNodeShare(int nodeIndex, double share) {
        sampler.setNodeShare(nodeIndex, share);
    }

    /** Assigns a share of all calls with a partition key to one new key from now on; 0 ends this. */
    public void setHotKeyShare(double share) {
        sampler.setHotKey("hot-" + nextId, share);
    }

    private void scheduleNextCall() {
        if (!isRunning) {
            return;
        }
        long interArrivalTicks = sampler.nextInterArrivalTicks();
        // relative to the last call's scheduled time, not its actual start: otherwise a busy host would reduce the load
        lastArrivalTicks = (lastArrivalTicks == 0 ? loop.nowTicks() : lastArrivalTicks) + interArrivalTicks;
        loop.schedule(lastArrivalTicks, () -> {
            scheduleNextCall();
            beginCall();
        });
    }

    private void beginCall() {
        if (!isRunning) {
            return;
        }
        LoadRoute route = sampler.nextRoute();
        String tenant = sampler.nextTenant();
        String partitionKey = sampler.nextPartitionKey();
        RouteStatistics routeStatistics = Objects.requireNonNull(statistics.get(route.name()));
        ClientCall call = new ClientCall("c" + nextId++, route, tenant, partitionKey, loop.nowTicks(), routeStatistics);
        call.statistics.calls++;
        sendRequest(call, false);
    }

    private void sendRequest(ClientCall call, boolean isRetry) {
        long remainingTicks = call.deadlineTicks() - loop.nowTicks();
        if (remainingTicks < 2 * ROUND_TRIP_ALLOWANCE_TICKS) {
            return;
        }
        int nodeIndex = (sampler.nextNodeIndex() + call.connectFailures) % connections.nodeCount();
        GeneratedRequest request = new GeneratedRequest(
                call, call.callId + "." + nextId++, nodeIndex, loop.nowTicks() + remainingTicks, false);
        openRequests++;
        call.statistics.requests++;
        connections.connect(
                request,
                connection -> write(connection, request, remainingTicks, isRetry),
                () -> connectFailed(request));
    }

    private void write(GeneratorConnection connection, GeneratedRequest request, long remainingTicks, boolean isRetry) {
        ClientCall call = request.call;
        records.accept(new TrafficRecord.RequestSent(
                RecordClock.nowTicks(),
                request.requestId,
                call.callId,
                request.nodeIndex,
                call.route.name(),
                call.tenant,
                call.partitionKey,
                call.idempotencyKey,
                RecordClock.nowTicks() + (request.deadlineTicks - loop.clockTicks()),
                isRetry));
        connection.session.write(encode(request, isRetry));
        request.setDeadlineTimer(
                loop.schedule(request.deadlineTicks + READ_TOLERANCE_TICKS, () -> abandon(connection, request, false)));
        if (sampler.nextBoolean(profile.earlyCloseShare())) {
            long delayTicks = sampler.nextTicks((double) Math.min(remainingTicks / 4, MAX_EARLY_CLOSE_TICKS));
            request.setEarlyCloseTimer(
                    loop.schedule(loop.nowTicks() + delayTicks, () -> abandon(connection, request, true)));
        }
    }

    private HttpRequest encode(GeneratedRequest request, boolean isRetry) {
        ClientCall call = request.call;
        long announcedTicks = request.deadlineTicks - ROUND_TRIP_ALLOWANCE_TICKS - loop.clockTicks();
        double announcedMillis = Math.max(MIN_ANNOUNCED_TICKS, announcedTicks) / RecordClock.TICKS_PER_MILLISECOND;
        Headers headers = new Headers()
                .add("Host", "front")
                .add(HeaderNames.REQUEST_ID, request.requestId)
                .add(HeaderNames.REMAINING, Double.toString(announcedMillis));
        addIfPresent(headers, HeaderNames.TENANT, call.tenant);
        addIfPresent(headers, HeaderNames.PARTITION_KEY, call.partitionKey);
        addIfPresent(headers, HeaderNames.IDEMPOTENCY_KEY, call.idempotencyKey);
        if (isRetry) {
            headers.add(HeaderNames.CLIENT_RETRY, "1");
        }
        byte[] body = call.route.method().equals("GET") ? new byte[0] : "change".getBytes(US_ASCII);
        return new HttpRequest(
                call.route.method(), call.route.path() + "/" + request.requestId, HTTP_MINOR_VERSION, headers, body);
    }

    private static void addIfPresent(Headers headers, String name, @Nullable String value) {
        if (value != null) {
            headers.add(name, value);
        }
    }

    private void connectFailed(GeneratedRequest request) {
        ClientCall call = request.call;
        call.statistics.connectFailures++;
        end(request);
        call.connectFailures++;
        if (call.connectFailures < MAX_CONNECT_FAILURES) {
            sendRequest(call, call.retries > 0);
        }
    }

    private void end(GeneratedRequest request) {
        if (request.end() && !request.isComplaint) {
            openRequests--;
        }
    }

    private void abandon(GeneratorConnection connection, GeneratedRequest request, boolean beforeDeadline) {
        if (request.hasEnded()) {
            return;
        }
        records.accept(new TrafficRecord.ClientClosed(RecordClock.nowTicks(), request.requestId, beforeDeadline));
        if (beforeDeadline) {
            request.call.statistics.closedEarly++;
        }
        end(request);
        connection.abandon();
    }

    private void complete(GeneratedRequest request, HttpResponse response, long receivedAtTicks) {
        RouteStatistics routeStatistics = request.call.statistics;
        Headers headers = response.headers();
        Outcome outcome = outcome(headers.get(HeaderNames.RESULT));
        records.accept(new TrafficRecord.ResponseReceived(
                receivedAtTicks,
                request.requestId,
                response.status(),
                outcome,
                "no".equals(headers.get(HeaderNames.ACCEPTED))));
        switch (outcome) {
            case COMPLETED -> {
                routeStatistics.recordCompletion(Math.max(0, loop.nowTicks() - request.call.startTicks));
                if (isWrong(response) && sampler.nextBoolean(profile.complaintShare())) {
                    complain(request, headers.get(HeaderNames.RESPONSE_REFERENCE));
                }
            }
            case REJECTED -> {
                routeStatistics.rejected++;
                retry(request.call, retryAfterTicks(headers));
            }
            case FAILED -> {
                routeStatistics.failed++;
                retryIfSafe(request.call);
            }
        }
    }

    private static Outcome outcome(@Nullable String result) {
        if ("completed".equals(result)) {
            return Outcome.COMPLETED;
        }
        return "shed".equals(result) ? Outcome.REJECTED : Outcome.FAILED;
    }

    private static boolean isWrong(HttpResponse response) {
        return new String(response.body(), UTF_8).startsWith(SimulatedServer.WRONG_ANSWER);
    }

    private static long retryAfterTicks(Headers headers) {
        String millis = headers.get(HeaderNames.RETRY_AFTER_MS);
        return millis == null
                ? REJECTION_RETRY_TICKS
                : Long.parseLong(millis) * (long) RecordClock.TICKS_PER_MILLISECOND;
    }

    private void complain(GeneratedRequest about, @Nullable String responseReference) {
        GeneratedRequest complaint = new GeneratedRequest(
                about.call, "complaint", about.nodeIndex, loop.nowTicks() + COMPLAINT_TIMEOUT_TICKS, true);
        HttpRequest message = new HttpRequest(
                "POST",
                COMPLAINT_PATH,
                HTTP_MINOR_VERSION,
                Headers.of("Host", "front"),
                String.valueOf(responseReference).getBytes(US_ASCII));
        loop.schedule(
                loop.nowTicks() + COMPLAINT_DELAY_TICKS,
                () -> connections.connect(
                        complaint, connection -> connection.session.write(message), () -> connectFailed(complaint)));
    }

    private void retryIfSafe(ClientCall call) {
        if (call.isRetrySafe(loop.nowTicks())) {
            retry(call, FAILURE_RETRY_TICKS);
        }
    }

    private void retry(ClientCall call, long delayTicks) {
        if (isRunning && call.retries < profile.maxRetries()) {
            call.retries++;
            long jitterTicks = sampler.nextTicks(delayTicks / 4.0);
            loop.schedule(loop.nowTicks() + delayTicks + jitterTicks, () -> sendRequest(call, true));
        }
    }

    private final class ConnectionListener implements ClientConnectionPool.Listener {
        @Override
        public void responseReceived(GeneratorConnection connection, HttpResponse response, long receivedAtTicks) {
            if (connection.isAbandoned()) {
                return;
            }
            GeneratedRequest request = connection.currentRequest();
            if (request == null || request.hasEnded()) {
                records.accept(new TrafficRecord.UnexpectedBytes(
                        receivedAtTicks, connection.lastRequestId(), "an answer of status " + response.status()));
                connection.session.closeNow();
                return;
            }
            connection.clearRequest();
            end(request);
            if (response.closesConnection()) {
                connection.session.closeNow();
            } else {
                connections.release(connection);
            }
            if (!request.isComplaint) {
                complete(request, response, receivedAtTicks);
            }
        }

        @Override
        public void malformedResponseReceived(GeneratorConnection connection, Exception cause, long receivedAtTicks) {
            records.accept(new TrafficRecord.UnexpectedBytes(
                    receivedAtTicks, connection.lastRequestId(), String.valueOf(cause.getMessage())));
        }

        @Override
        public void connectionClosed(GeneratorConnection connection, long closedAtTicks) {
            GeneratedRequest request = connection.currentRequest();
            connection.clearRequest();
            if (request == null || request.hasEnded()) {
                return;
            }
            end(request);
            if (!request.isComplaint) {
                records.accept(
                        new TrafficRecord.ConnectionBroken(closedAtTicks, request.requestId, "the connection closed"));
                request.call.statistics.connectionsBroken++;
                retryIfSafe(request.call);
            }
        }
    }
}

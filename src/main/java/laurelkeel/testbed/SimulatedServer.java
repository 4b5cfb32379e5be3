package laurelkeel.testbed;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import laurelkeel.records.RecordTerms.EndpointState;
import laurelkeel.records.RecordTerms.StopReason;
import laurelkeel.records.TrafficRecord;
import laurelkeel.wire.HeaderNames;
import laurelkeel.wire.Headers;
import laurelkeel.wire.HttpCodec;
import laurelkeel.wire.HttpRequest;
import laurelkeel.wire.HttpResponse;
import laurelkeel.wire.HttpWriter;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;

/**
 * One simulated server with its own port: a number of cores, a queue, a warm-up after a cold start, and faults.
 * Everything but the socket I/O happens on the fleet's loop.
 */
public final class SimulatedServer {
    /** Prefix of the body of a wrong answer. */
    static final String WRONG_ANSWER = "wrong";

    private static final String RIGHT_ANSWER = "right";
    private static final String HEALTH_PATH = "/health";
    private static final int OK = 200;
    private static final int FAILURE = 500;
    private static final int UNAVAILABLE = 503;

    final String endpointId;
    final String zone;
    final int cell;
    final long incarnation;
    final BuildProfile build;
    final boolean startedCold;
    final long startTicks;
    private final SimulatedFleet fleet;
    private final ServerAcceptor acceptor;
    private final ServerWorkers workers;
    private final ServerFaults faults = new ServerFaults();
    private final WarmUp warmUp;
    private final LoadMeter loadMeter;
    private final Map<IoSession, ServerRequest> openRequests = new HashMap<>();
    private EndpointState state = EndpointState.ACTIVE;
    private boolean isStopped;

    /**
     * Starts a server.
     *
     * @throws IOException if the port is in use
     */
    SimulatedServer(
            SimulatedFleet fleet,
            InetSocketAddress address,
            long incarnation,
            String zone,
            int cell,
            BuildProfile build,
            boolean startedCold)
            throws IOException {
        ServerProfile profile = fleet.profile();
        this.fleet = fleet;
        this.incarnation = incarnation;
        this.zone = zone;
        this.cell = cell;
        this.build = build;
        this.startedCold = startedCold;
        this.startTicks = fleet.loop.nowTicks();
        this.warmUp = new WarmUp(profile, startedCold, startTicks);
        this.loadMeter = new LoadMeter(profile.loadReportIntervalTicks());
        this.workers = new ServerWorkers(this, fleet, loadMeter, this::workFinished);
        this.acceptor = new ServerAcceptor(fleet, address, new AcceptorListener());
        this.endpointId = "127.0.0.1:" + acceptor.address().getPort();
        fleet.record(new TrafficRecord.ServerStarted(
                fleet.recordTicks(),
                endpointId,
                incarnation,
                build.number(),
                fleet.zoneIndex(zone),
                cell,
                profile.capacityPerSecond(),
                profile.warmUpInitialShare(),
                profile.warmUpTicks(),
                profile.overloadMultiple(),
                profile.overloadWindowTicks(),
                startedCold));
    }

    /** Returns the build that the server runs. */
    public BuildProfile build() {
        return build;
    }

    /** Returns the address on which the server listens. */
    public InetSocketAddress address() {
        return acceptor.address();
    }

    /** Returns the index of the server's cell. */
    public int cell() {
        return cell;
    }

    EndpointState state() {
        return state;
    }

    void setState(EndpointState state) {
        this.state = state;
    }

    boolean isStopped() {
        return isStopped;
    }

    boolean isActive() {
        return !isStopped && state == EndpointState.ACTIVE;
    }

    ServerFaults faults() {
        return faults;
    }

    WarmUp warmUp() {
        return warmUp;
    }

    /** Returns the number of requests queued or being worked on. */
    int inFlight() {
        return workers.inFlight();
    }

    /**
     * Starts a fault. Must be called on the fleet's loop.
     *
     * @param factor factor on the duration of work; used by {@link ServerFault#SLOW} only
     */
    public void startFault(ServerFault fault, long untilTicks, double factor) {
        faults.start(fault, untilTicks, factor);
        if (fault == ServerFault.REFUSE_CONNECTIONS) {
            acceptor.refuseUntil(untilTicks);
        }
    }

    /** Stops the server immediately, with all open requests. */
    void stop(StopReason reason) {
        if (isStopped) {
            return;
        }
        isStopped = true;
        for (ServerRequest request : openRequests.values()) {
            if (request.workTimer != null) {
                request.workTimer.cancel();
            }
        }
        acceptor.close();
        fleet.record(new TrafficRecord.ServerStopped(fleet.recordTicks(), endpointId, incarnation, reason));
    }

    private final class AcceptorListener implements ServerAcceptor.Listener {
        @Override
        public void requestReceived(IoSession session, HttpRequest message, long receivedAtTicks) {
            if (isStopped) {
                return;
            }
            if (message.path().equals(HEALTH_PATH)) {
                answerHealthCheck(session);
            } else {
                acceptAttempt(session, message, receivedAtTicks);
            }
        }

        @Override
        public void sessionClosed(IoSession session) {
            ServerRequest request = openRequests.remove(session);
            if (request != null) {
                workers.abandon(request);
            }
        }
    }

    private boolean hasFault(ServerFault fault) {
        return faults.isActive(fault, fleet.loop.nowTicks());
    }

    private void answerHealthCheck(IoSession session) {
        if (!hasFault(ServerFault.HANG)) {
            int status = state == EndpointState.ACTIVE ? OK : UNAVAILABLE;
            session.write(response(status, new byte[0]));
        }
    }

    private void acceptAttempt(IoSession session, HttpRequest message, long receivedAtTicks) {
        String requestId = String.valueOf(message.headers().get(HeaderNames.REQUEST_ID));
        int attemptNumber = NodeIdentity.parseNumber(message.headers().get(HeaderNames.ATTEMPT));
        NodeIdentity sender = NodeIdentity.parse(message.headers().get(HeaderNames.FRONT));
        fleet.record(new TrafficRecord.AttemptArrived(
                receivedAtTicks,
                endpointId,
                incarnation,
                build.number(),
                requestId,
                attemptNumber,
                sender.nodeIndex(),
                sender.incarnation()));
        if (warmUp.isOverloadedByArrival(fleet.loop.nowTicks())) {
            stop(StopReason.OVERLOADED);
            fleet.remove(this);
            return;
        }
        ServerRequest request = new ServerRequest(session, message, requestId, fleet.routeOf(message), attemptNumber);
        openRequests.put(session, request);
        if (hasFault(ServerFault.HANG)) {
            return;
        }
        if (state != EndpointState.ACTIVE || workers.isFull()) {
            reject(request);
        } else {
            workers.enqueue(request);
        }
    }

    private void reject(ServerRequest request) {
        openRequests.remove(request.session);
        fleet.record(new TrafficRecord.AttemptRejected(
                fleet.recordTicks(), endpointId, incarnation, request.requestId, request.attemptNumber));
        HttpResponse response = response(UNAVAILABLE, "no room\n".getBytes(UTF_8));
        response.headers().add(HeaderNames.EXECUTED, "no");
        request.session.write(response);
    }

    private void workFinished(ServerRequest request, boolean wasBusy) {
        openRequests.remove(request.session);
        if (hasFault(ServerFault.LOSE_RESPONSES)) {
            openRequests.put(request.session, request);
            request.isAbandoned = true;
            return;
        }
        boolean isFailure = fails(request.route, wasBusy);
        String answer = fleet.nextRandom() < build.wrongAnswerShare() ? WRONG_ANSWER : RIGHT_ANSWER;
        HttpResponse response = isFailure ? response(FAILURE, padded("failed")) : response(OK, padded(answer));
        if (hasFault(ServerFault.RESET_CONNECTIONS)) {
            request.session.write(firstHalf(response)).addListener(future -> request.session.closeNow());
        } else if (hasFault(ServerFault.TRUNCATE_RESPONSES)) {
            request.session.write(firstHalf(response));
        } else {
            fleet.record(new TrafficRecord.AttemptAnswered(
                    fleet.recordTicks(),
                    endpointId,
                    incarnation,
                    request.requestId,
                    request.attemptNumber,
                    response.status()));
            request.session.write(response);
        }
    }

    private boolean fails(String route, boolean wasBusy) {
        boolean failuresHaveBegun = fleet.loop.nowTicks() - startTicks >= build.failureDelayTicks();
        boolean interacts = build.interactingBuild() == 0
                || !fleet.activeServers(build.interactingBuild()).isEmpty();
        if (failuresHaveBegun
                && interacts
                && fleet.nextRandom() < build.failureShares().getOrDefault(route, 0.0)) {
            return true;
        }
        return wasBusy && fleet.nextRandom() < build.busyFailureShare();
    }

    /** Returns a body of the profile's size that begins with a text; only the text if that size is 0. */
    private byte[] padded(String text) {
        byte[] bytes = text.getBytes(UTF_8);
        int size = fleet.profile().responseBytes();
        return size == 0 ? bytes : Arrays.copyOf(bytes, size);
    }

    private HttpResponse response(int status, byte[] body) {
        Headers headers = Headers.of(
                "Content-Type",
                "text/plain",
                HeaderNames.BUILD,
                Integer.toString(build.number()),
                HeaderNames.LOAD_REPORT,
                loadMeter.report(workers.inFlight(), fleet.loop.nowTicks()));
        return new HttpResponse(status, headers, body);
    }

    private static HttpCodec.Raw firstHalf(HttpResponse response) {
        IoBuffer encoded = HttpWriter.write(response);
        byte[] half = new byte[encoded.remaining() / 2];
        encoded.get(half);
        return new HttpCodec.Raw(half);
    }
}

package laurelkeel.soak;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import laurelkeel.soak.ResponseChecker.PendingRequest;
import org.jspecify.annotations.Nullable;

/**
 * A client that sends one request at a time and reuses its connection for as long as it stays open, even after the node got
 * SIGTERM. Used by its own thread only.
 */
final class SoakClient implements DaemonThreads.Task {
    private static final double SHORT_TIMEOUT_SECONDS = 0.005;
    private static final double MIN_TIMEOUT_SECONDS = 0.3;
    private static final double TIMEOUT_SPREAD_SECONDS = 1.7;
    private static final double PARTIAL_REQUEST_TIMEOUT_SECONDS = 1;
    private static final int MAX_PAUSE_MILLIS = 40;
    private static final int MAX_DISCONNECT_DELAY_MILLIS = 30;
    private static final int RECONNECT_MILLIS = 20;
    /** One in this many backlogs is a large one. */
    private static final int LARGE_BACKLOG_INTERVAL = 8;

    private static final int LARGE_BACKLOG = 400;
    private static final int SMALL_BACKLOG_SPREAD = 12;
    private static final int MAX_BACKLOG_STAY_MILLIS = 150;
    private static final ClientDeparture[] DEPARTURES = ClientDeparture.values();

    private final String name;
    private final Random random;
    private final NodeController nodes;
    private final RunMonitor monitor;
    private final RunState state;
    private final AttemptAuditor auditor;
    private final ResponseChecker responseChecker;
    private @Nullable SoakConnection connection;
    private int nextNumber;

    SoakClient(
            String name,
            long seed,
            NodeController nodes,
            RunMonitor monitor,
            RunState state,
            AttemptAuditor auditor,
            ResponseChecker responseChecker) {
        this.name = name;
        this.random = new Random(seed);
        this.nodes = nodes;
        this.monitor = monitor;
        this.state = state;
        this.auditor = auditor;
        this.responseChecker = responseChecker;
    }

    @Override
    public void run() throws InterruptedException {
        while (!state.isEnding() || connection != null) {
            if (connection == null) {
                connection = connect();
            }
            if (connection == null) {
                Thread.sleep(RECONNECT_MILLIS);
            } else {
                useConnection(connection);
                Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
            }
        }
    }

    private @Nullable SoakConnection connect() {
        NodeInstance node = nodes.pickAdmitting(random);
        if (node == null) {
            return null;
        }
        try {
            return SoakConnection.open(node);
        } catch (IOException e) {
            monitor.violations().count("connections refused");
            return null;
        }
    }

    private void useConnection(SoakConnection current) throws InterruptedException {
        ClientBehavior behavior = ClientBehavior.pick(random);
        boolean staysOpen;
        if (behavior == ClientBehavior.SENDS_PARTIAL_REQUEST) {
            sendPartialRequest(current);
            staysOpen = false;
        } else if (behavior == ClientBehavior.LEAVES_BACKLOG) {
            leaveBacklog(current);
            staysOpen = false;
        } else {
            staysOpen = sendRequest(current, behavior);
        }
        if (!staysOpen) {
            current.close();
            connection = null;
        }
    }

    private String nextId() {
        return name + "-" + nextNumber++;
    }

    /** Sends a request, has its outcome checked, and returns whether the connection stays open. */
    private boolean sendRequest(SoakConnection current, ClientBehavior behavior) throws InterruptedException {
        String id = nextId();
        double timeoutSeconds = behavior == ClientBehavior.SETS_SHORT_TIMEOUT
                ? SHORT_TIMEOUT_SECONDS
                : MIN_TIMEOUT_SECONDS + TIMEOUT_SPREAD_SECONDS * random.nextDouble();
        auditor.requestSent(id, timeoutSeconds);
        PendingRequest pending = new PendingRequest(id, monitor.clock().seconds(), current);
        return reported(pending, () -> {
            current.sendRequest(SoakRequest.generate(random, id, timeoutSeconds).text());
            monitor.violations().count("requests");
            if (behavior == ClientBehavior.DISCONNECTS) {
                Thread.sleep(random.nextInt(MAX_DISCONNECT_DELAY_MILLIS));
                current.close();
                auditor.clientDisconnected(id);
                return false;
            }
            if (behavior == ClientBehavior.HALF_CLOSES) {
                current.leave(ClientDeparture.HALF_CLOSE);
            }
            return awaitResponse(pending, timeoutSeconds) && behavior != ClientBehavior.HALF_CLOSES;
        });
    }

    /** What a client does for one request; returns whether the connection stays open. */
    private interface RequestStep {
        boolean run() throws IOException, InterruptedException;
    }

    /** Runs a step and has its failure checked; returns whether the connection stays open. */
    private boolean reported(PendingRequest pending, RequestStep step) throws InterruptedException {
        try {
            return step.run();
        } catch (SocketTimeoutException e) {
            responseChecker.timedOut(pending);
        } catch (ConnectionEndedException e) {
            responseChecker.connectionEnded(pending, Objects.requireNonNull(e.getMessage()));
        } catch (IOException e) {
            responseChecker.connectionReset(pending, String.valueOf(e.getMessage()));
        }
        return false;
    }

    /** Waits for the response and returns whether the node keeps the connection open. */
    private boolean awaitResponse(PendingRequest pending, double timeoutSeconds) throws IOException {
        NodeResponse response = pending.connection()
                .readResponse(
                        timeoutSeconds + ResponseChecker.LATE_RESPONSE_SECONDS + ResponseChecker.HOST_LATENESS_SECONDS);
        if (response == null) {
            throw new ConnectionEndedException("end of stream before a response");
        }
        responseChecker.responseReceived(pending, response);
        return !response.closesConnection();
    }

    /** Sends several requests at once and leaves; no attempt may begin afterwards. */
    private void leaveBacklog(SoakConnection current) throws InterruptedException {
        int count =
                random.nextInt(LARGE_BACKLOG_INTERVAL) == 0 ? LARGE_BACKLOG : 2 + random.nextInt(SMALL_BACKLOG_SPREAD);
        double timeoutSeconds = MIN_TIMEOUT_SECONDS + TIMEOUT_SPREAD_SECONDS * random.nextDouble();
        ClientDeparture departure = DEPARTURES[random.nextInt(DEPARTURES.length)];
        int stayMillis = random.nextInt(MAX_BACKLOG_STAY_MILLIS);
        List<PendingRequest> pending = new ArrayList<>();
        StringBuilder backlog = new StringBuilder();
        for (int i = 0; i < count; i++) {
            String id = nextId();
            auditor.requestSent(id, timeoutSeconds);
            pending.add(new PendingRequest(id, monitor.clock().seconds(), current));
            backlog.append(SoakRequest.generate(random, id, timeoutSeconds).text());
        }
        monitor.violations().count("left behind: " + departure);
        try {
            current.sendRequest(backlog.toString());
            if (departure == ClientDeparture.HALF_CLOSE) {
                // reads meanwhile, so that the time at which the node closes the connection is seen as it is
                DaemonThreads.start("half-close", () -> leave(current, departure, stayMillis, pending));
                awaitResponses(pending, timeoutSeconds);
            } else {
                leave(current, departure, stayMillis, pending);
            }
        } catch (IOException e) {
            monitor.violations().count("left behind: the node had closed the connection");
        }
    }

    private void leave(SoakConnection current, ClientDeparture departure, int stayMillis, List<PendingRequest> pending)
            throws IOException, InterruptedException {
        Thread.sleep(stayMillis);
        current.leave(departure);
        pending.forEach(request -> auditor.clientDisconnected(request.id()));
    }

    /** Reads the responses that a client that has only ended its output still gets. */
    private void awaitResponses(List<PendingRequest> pending, double timeoutSeconds) throws InterruptedException {
        for (PendingRequest request : pending) {
            if (!reported(request, () -> awaitResponse(request, timeoutSeconds))) {
                return;
            }
        }
    }

    /** Sends a part of a request; the node must answer with an error or close the connection in time. */
    private void sendPartialRequest(SoakConnection current) {
        String request = SoakRequest.generate(random, nextId(), PARTIAL_REQUEST_TIMEOUT_SECONDS)
                .text();
        double sentAtSeconds = monitor.clock().seconds();
        try {
            current.sendPartialRequest(request.substring(0, 1 + random.nextInt(request.length() - 1)));
            NodeResponse response = current.readResponse(
                    ResponseChecker.PARTIAL_REQUEST_SECONDS + ResponseChecker.HOST_LATENESS_SECONDS);
            monitor.violations().count("stopped half way: " + (response == null ? "closed" : response.status()));
        } catch (SocketTimeoutException e) {
            responseChecker.partialRequestTimedOut(current.node(), sentAtSeconds);
        } catch (IOException e) {
            monitor.violations().count("stopped half way: reset");
        }
    }
}

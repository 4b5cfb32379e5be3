package laurelkeel.soak;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.Objects;
import java.util.Random;
import laurelkeel.soak.ResponseJudge.PendingRequest;
import org.jspecify.annotations.Nullable;

/**
 * One client: a request at a time, over one connection for as long as that stays open, also past a node's SIGTERM. Used by
 * its own thread only.
 */
final class SoakClient implements DaemonThreads.Task {
    private static final double HURRIED_TIMEOUT_SECONDS = 0.005;
    private static final double MIN_TIMEOUT_SECONDS = 0.3;
    private static final double TIMEOUT_SPREAD_SECONDS = 1.7;
    private static final double HALF_REQUEST_TIMEOUT_SECONDS = 1;
    private static final int MAX_PAUSE_MILLIS = 40;
    private static final int MAX_STAY_MILLIS = 30;
    private static final int RECONNECT_MILLIS = 20;

    private final String name;
    private final Random random;
    private final NodeController nodes;
    private final RunMonitor monitor;
    private final RunState state;
    private final AttemptAuditor auditor;
    private final ResponseJudge judge;
    private @Nullable SoakConnection connection;
    private int nextNumber;

    SoakClient(
            String name,
            long seed,
            NodeController nodes,
            RunMonitor monitor,
            RunState state,
            AttemptAuditor auditor,
            ResponseJudge judge) {
        this.name = name;
        this.random = new Random(seed);
        this.nodes = nodes;
        this.monitor = monitor;
        this.state = state;
        this.auditor = auditor;
        this.judge = judge;
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
        NodeInstance node = nodes.drawAdmitting(random);
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
        ClientBehavior behavior = ClientBehavior.draw(random);
        boolean staysOpen;
        if (behavior == ClientBehavior.STOPS) {
            sendHalfRequest(current);
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

    /** Sends a request, judges what becomes of it, and returns whether the connection stays open. */
    private boolean sendRequest(SoakConnection current, ClientBehavior behavior) throws InterruptedException {
        String id = nextId();
        double timeoutSeconds = behavior == ClientBehavior.HURRIES
                ? HURRIED_TIMEOUT_SECONDS
                : MIN_TIMEOUT_SECONDS + TIMEOUT_SPREAD_SECONDS * random.nextDouble();
        auditor.requestSent(id, timeoutSeconds);
        PendingRequest pending = new PendingRequest(id, monitor.clock().seconds(), current);
        try {
            current.sendRequest(SoakRequest.draw(random, id, timeoutSeconds).text());
            monitor.violations().count("requests");
            if (behavior == ClientBehavior.LEAVES) {
                Thread.sleep(random.nextInt(MAX_STAY_MILLIS));
                current.close();
                auditor.clientLeft(id);
                return false;
            }
            if (behavior == ClientBehavior.HALF_CLOSES) {
                current.endOutput();
            }
            return awaitResponse(pending, timeoutSeconds) && behavior != ClientBehavior.HALF_CLOSES;
        } catch (SocketTimeoutException e) {
            judge.timedOut(pending);
        } catch (ConnectionEndedException e) {
            judge.connectionEnded(pending, Objects.requireNonNull(e.getMessage()));
        } catch (IOException e) {
            judge.connectionReset(pending, String.valueOf(e.getMessage()));
        }
        return false;
    }

    /** Returns whether the node keeps the connection open. */
    private boolean awaitResponse(PendingRequest pending, double timeoutSeconds) throws IOException {
        NodeResponse response = pending.connection()
                .readResponse(timeoutSeconds + ResponseJudge.LATE_SECONDS + ResponseJudge.HOST_SECONDS);
        if (response == null) {
            throw new ConnectionEndedException("ended in order");
        }
        judge.responseReceived(pending, response);
        return !response.closesConnection();
    }

    /** A client that stops in the middle of a request and stays gets an error or the end of its connection in time. */
    private void sendHalfRequest(SoakConnection current) {
        String request =
                SoakRequest.draw(random, nextId(), HALF_REQUEST_TIMEOUT_SECONDS).text();
        double sentAtSeconds = monitor.clock().seconds();
        try {
            current.sendPart(request.substring(0, 1 + random.nextInt(request.length() - 1)));
            NodeResponse response =
                    current.readResponse(ResponseJudge.HALF_REQUEST_SECONDS + ResponseJudge.HOST_SECONDS);
            monitor.violations().count("stopped half way: " + (response == null ? "closed" : response.status()));
        } catch (SocketTimeoutException e) {
            judge.halfRequestTimedOut(current.node(), sentAtSeconds);
        } catch (IOException e) {
            monitor.violations().count("stopped half way: reset");
        }
    }
}

package laurelkeel.soak;

import java.util.Locale;

/** Checks the outcomes of the clients' requests against the rules of docs/soak.md; thread-safe. */
final class ResponseChecker {
    /** How long after the client's timeout a response may still arrive; it no longer counts as on time. */
    static final double LATE_RESPONSE_SECONDS = 0.5;
    /** The additional delay that a busy host may cause. */
    static final double HOST_LATENESS_SECONDS = 0.4;
    /** The time within which a client that sent a partial request gets an error or the end of its connection. */
    static final double PARTIAL_REQUEST_SECONDS = 3;

    /** A connection that ends within this time after a request may have been closed before the request arrived. */
    private static final double IDLE_CLOSE_RACE_SECONDS = 0.1;
    /** A request that is sent later than this after SIGTERM and is unanswered at SIGKILL counts as lost. */
    private static final double SERVED_AFTER_TERM_SECONDS = 0.7;

    private static final int MAX_SHOWN_LENGTH = 40;
    private static final int MILLIS_PER_SECOND = 1_000;

    private final RunMonitor monitor;
    private final RunState state;
    private final boolean connectionsBreak;

    /** @param connectionsBreak whether failing reads of the nodes break connections that have requests in flight */
    ResponseChecker(RunMonitor monitor, RunState state, boolean connectionsBreak) {
        this.monitor = monitor;
        this.state = state;
        this.connectionsBreak = connectionsBreak;
    }

    /** A request without a response so far, sent over a connection that may have carried earlier requests. */
    record PendingRequest(String id, double sentAtSeconds, SoakConnection connection) {}

    /** Records the outcome of a response and checks its body. */
    void responseReceived(PendingRequest request, NodeResponse response) {
        monitor.violations().count(outcome(response.status()));
        String body = response.body();
        if (response.status() == 200 && !FaultyEndpoint.isBodyFor(request.id(), body)) {
            String shown = body.substring(0, Math.min(MAX_SHOWN_LENGTH, body.length()));
            monitor.violations()
                    .add(
                            SoakRule.LOST,
                            request.id() + " got a response from "
                                    + request.connection().node().name() + " that no endpoint made for it: " + shown
                                    + " (" + body.length() + " bytes)");
        }
    }

    private static String outcome(int status) {
        return switch (status) {
            case 200 -> "served";
            case 429, 503 -> "refused";
            default -> "failed";
        };
    }

    /** Records that no response arrived in time. */
    void timedOut(PendingRequest request) {
        requestLost(
                request, "has no response " + (LATE_RESPONSE_SECONDS + HOST_LATENESS_SECONDS) + " s after its timeout");
    }

    /** Records that the connection ended regularly without a complete response. */
    void connectionEnded(PendingRequest request, String how) {
        double elapsed = monitor.clock().seconds() - request.sentAtSeconds();
        if (request.connection().requests() > 1 && elapsed < IDLE_CLOSE_RACE_SECONDS) {
            monitor.violations().count("crossed by the end of a resting connection");
        } else {
            requestLost(request, endedAfter(request, elapsed, how));
        }
    }

    /** Records that the connection was reset before a complete response. */
    void connectionReset(PendingRequest request, String how) {
        double elapsed = monitor.clock().seconds() - request.sentAtSeconds();
        if (request.connection().requests() > 1) {
            monitor.violations().count("crossed by the end of a resting connection");
        } else if (state.wasFlooded() || request.connection().node().wasTerminated()) {
            monitor.violations().count("closed unread");
        } else {
            requestLost(request, endedAfter(request, elapsed, how));
        }
    }

    private static String endedAfter(PendingRequest request, double elapsedSeconds, String how) {
        return "its connection ended after " + Math.round(elapsedSeconds * MILLIS_PER_SECOND) + " ms: " + how
                + ", request " + request.connection().requests() + " on the connection";
    }

    private void requestLost(PendingRequest request, String why) {
        NodeInstance node = request.connection().node();
        ViolationLog violations = monitor.violations();
        if (monitor.lateness().recentSeconds() > HOST_LATENESS_SECONDS) {
            violations.count("not judged, for this host was late");
        } else if (node.wasKilled() && !wasSentTooLateAfterTerm(request)) {
            violations.count("unanswered at a kill");
        } else if (connectionsBreak) {
            violations.count("broken off by a failing read");
        } else if (!node.process().isAlive() && !node.isEndRequested()) {
            violations.count("unanswered at an end that nobody asked for");
        } else {
            violations.add(SoakRule.LOST, request.id() + " at " + node.name() + " " + why);
        }
    }

    /** Whether the request was sent so long after SIGTERM that the node should no longer have accepted it. */
    private static boolean wasSentTooLateAfterTerm(PendingRequest request) {
        NodeInstance node = request.connection().node();
        return node.wasTerminated() && request.sentAtSeconds() > node.terminatedAt() + SERVED_AFTER_TERM_SECONDS;
    }

    /** Records that a client that sent a partial request received nothing in time. */
    void partialRequestTimedOut(NodeInstance node, double sentAtSeconds) {
        if (node.process().isAlive() && monitor.lateness().recentSeconds() < HOST_LATENESS_SECONDS) {
            String elapsed = String.format(Locale.ROOT, "%.1f", monitor.clock().seconds() - sentAtSeconds);
            monitor.violations()
                    .add(
                            SoakRule.HALF_REQUEST,
                            "a client that sent a partial request to " + node.name() + " received nothing for "
                                    + elapsed + " s");
        }
    }
}

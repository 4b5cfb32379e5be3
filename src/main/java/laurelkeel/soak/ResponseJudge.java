package laurelkeel.soak;

import java.util.Locale;

/** Judges what becomes of the clients' requests by the rules of docs/soak.md; thread-safe. */
final class ResponseJudge {
    /** An answer may come so long after the client's timeout, and earns nothing then. */
    static final double LATE_SECONDS = 0.5;
    /** What a busy host may add. */
    static final double HOST_SECONDS = 0.4;
    /** A client that sends half a request has an error or the end of its connection within this. */
    static final double HALF_REQUEST_SECONDS = 3;

    /** A connection that ends so soon after a request may have been closed before the request arrived. */
    private static final double CROSSING_SECONDS = 0.1;
    /** A request that comes so long after SIGTERM and is unanswered at SIGKILL is lost. */
    private static final double SERVED_AFTER_TERM_SECONDS = 0.7;

    private static final int MAX_SHOWN_LENGTH = 40;
    private static final int MILLIS_PER_SECOND = 1_000;

    private final RunMonitor monitor;
    private final RunState state;
    private final boolean readsFail;

    /** @param readsFail whether connections break under their requests, as failing reads of the nodes show them */
    ResponseJudge(RunMonitor monitor, RunState state, boolean readsFail) {
        this.monitor = monitor;
        this.state = state;
        this.readsFail = readsFail;
    }

    /** A request that was sent at a moment, over a connection that may have had others before. */
    record PendingRequest(String id, double sentAtSeconds, SoakConnection connection) {}

    /** A response has come. */
    void responseReceived(PendingRequest request, NodeResponse response) {
        monitor.violations().count(outcome(response.status()));
        String body = response.body();
        if (response.status() == 200 && !FaultyEndpoint.isBodyFor(request.id(), body)) {
            String shown = body.substring(0, Math.min(MAX_SHOWN_LENGTH, body.length()));
            monitor.violations()
                    .add(
                            SoakRule.LOST,
                            request.id() + " was served by "
                                    + request.connection().node().name() + " with what no server made for it: " + shown
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

    /** No response has come in time. */
    void timedOut(PendingRequest request) {
        requestLost(request, "has no answer " + (LATE_SECONDS + HOST_SECONDS) + " s after its time");
    }

    /** The connection ended in order without a response. */
    void connectionEnded(PendingRequest request, String how) {
        double elapsed = monitor.clock().seconds() - request.sentAtSeconds();
        if (request.connection().requests() > 1 && elapsed < CROSSING_SECONDS) {
            monitor.violations().count("crossed by the end of a resting connection");
        } else {
            requestLost(request, endedAfter(request, elapsed, how));
        }
    }

    /** The connection was reset without a response. */
    void connectionReset(PendingRequest request, String how) {
        double elapsed = monitor.clock().seconds() - request.sentAtSeconds();
        if (request.connection().requests() > 1) {
            monitor.violations().count("crossed by the end of a resting connection");
        } else if (state.isCrowded() || request.connection().node().wasTerminated()) {
            monitor.violations().count("closed unread");
        } else {
            requestLost(request, endedAfter(request, elapsed, how));
        }
    }

    private static String endedAfter(PendingRequest request, double elapsedSeconds, String how) {
        return "its connection ended after " + Math.round(elapsedSeconds * MILLIS_PER_SECOND) + " ms: " + how
                + ", request " + request.connection().requests() + " on it";
    }

    private void requestLost(PendingRequest request, String why) {
        NodeInstance node = request.connection().node();
        ViolationLog violations = monitor.violations();
        if (monitor.lateness().recentSeconds() > HOST_SECONDS) {
            violations.count("not judged, for this host was late");
        } else if (node.wasKilled() && !wasSentLate(request)) {
            violations.count("unanswered at a kill");
        } else if (readsFail) {
            violations.count("broken off by a failing read");
        } else if (!node.process().isAlive() && !node.isEndRequested()) {
            violations.count("unanswered at an end that nobody asked for");
        } else {
            violations.add(SoakRule.LOST, request.id() + " at " + node.name() + " " + why);
        }
    }

    /** Whether the node was already ending for so long that it should not have accepted the request. */
    private static boolean wasSentLate(PendingRequest request) {
        NodeInstance node = request.connection().node();
        return node.wasTerminated() && request.sentAtSeconds() > node.terminatedAt() + SERVED_AFTER_TERM_SECONDS;
    }

    /** A client that stopped in the middle of a request has got nothing in time. */
    void halfRequestTimedOut(NodeInstance node, double sentAtSeconds) {
        if (node.process().isAlive() && monitor.lateness().recentSeconds() < HOST_SECONDS) {
            String elapsed = String.format(Locale.ROOT, "%.1f", monitor.clock().seconds() - sentAtSeconds);
            monitor.violations()
                    .add(
                            SoakRule.HALF_REQUEST,
                            "a client that stopped half way at " + node.name() + " heard nothing for " + elapsed
                                    + " s");
        }
    }
}

package laurelkeel.soak;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** What clients, servers and the list know of each request and server, for rules that need more than one side. */
final class Ledger {
    /** A node tells its server at most what is left to the client, with this slack (seconds). */
    private static final double TIME_LEFT_SLACK = 0.15;

    private static final int REMEMBERED = 50_000;

    private static final long MEASURED_AFTER_MS = 50;

    private record Sent(double at, double within) {}

    private record Attempt(String server, String requestId, double at, double timeLeft, Sent request) {}

    private final Violations violations;
    private final Map<String, Sent> sent = new ConcurrentHashMap<>();
    private final Map<String, Double> left = new ConcurrentHashMap<>();
    private final Map<String, Double> drained = new ConcurrentHashMap<>();
    private int outages;
    private double outageKnownFrom;

    Ledger(Violations violations) {
        this.violations = violations;
    }

    void sent(String requestId, double within) {
        if (sent.size() > REMEMBERED) {
            sent.clear();
        }
        sent.put(requestId, new Sent(violations.seconds(), within));
    }

    /** Its client has closed its connection. */
    void left(String requestId) {
        left.put(requestId, violations.seconds());
    }

    /** From this moment on no node may ask this server for anything new. */
    void drained(String server, double at) {
        drained.put(server, at);
    }

    /** Discovery of some node is down: what it would tell cannot be known there. */
    synchronized void outageBegins() {
        outages++;
    }

    /** @param knownFrom from when on what was told meanwhile counts as known, in seconds */
    synchronized void outageEnds(double knownFrom) {
        outages--;
        outageKnownFrom = Math.max(outageKnownFrom, knownFrom);
    }

    private synchronized boolean outage(double now) {
        return outages > 0 || now < outageKnownFrom;
    }

    /**
     * An attempt has come; what it breaks is told.
     *
     * @param allowed slack of the rules that count from a moment, in seconds; this host's own lateness comes on top
     */
    void attempted(Backend server, String requestId, double timeLeft, double allowed) throws InterruptedException {
        violations.count("attempts");
        double now = violations.seconds();
        Sent request = sent.get(requestId);
        if (request == null) {
            violations.add("id", server.id + " was asked for " + requestId + ", which no client sent");
            return;
        }
        Attempt attempt = new Attempt(server.id, requestId, now, timeLeft, request);
        if (!breaks(attempt, allowed).isEmpty()) {
            // where this host has been late, the thread that measures that may run after this one
            Thread.sleep(MEASURED_AFTER_MS);
            breaks(attempt, allowed).forEach(violations::add);
        }
    }

    /** What an attempt breaks, by rule. */
    private Map<String, String> breaks(Attempt attempt, double allowed) {
        // a thread of a client or of the server may have run late at either end
        double slack = allowed + 2 * violations.lateness();
        String id = attempt.requestId;
        Map<String, String> broken = new HashMap<>();
        if (attempt.at > left.getOrDefault(id, Double.MAX_VALUE) + slack) {
            broken.put("lost", "an attempt for " + id + " began after its client had left");
        }
        if (attempt.timeLeft > attempt.request.within - (attempt.at - attempt.request.at) + TIME_LEFT_SLACK + slack) {
            broken.put("time left", id + " was told " + attempt.timeLeft + " s");
        }
        if (attempt.at > drained.getOrDefault(attempt.server, Double.MAX_VALUE) + slack && !outage(attempt.at)) {
            broken.put("drain", attempt.server + " was asked for " + id + " though it drains");
        }
        return broken;
    }
}

package laurelkeel.soak;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Judges attempts by the rules that need to know more than one side: what clients sent, which of them left, and which
 * endpoints drain. Thread-safe; all moments are seconds of the run's clock.
 */
final class AttemptAuditor {
    /** A node tells an endpoint at most the time that the client has left, with this slack. */
    private static final double TIME_LEFT_SLACK_SECONDS = 0.15;

    private static final int MAX_REMEMBERED_REQUESTS = 50_000;
    /** After this the thread that measures the host's lateness has run, too. */
    private static final long LATENESS_MEASURED_MILLIS = 50;

    private record SentRequest(double sentAt, double timeoutSeconds) {}

    private record Attempt(
            String endpointId, String requestId, double receivedAt, double secondsLeft, SentRequest request) {}

    private final RunMonitor monitor;
    private final Map<String, SentRequest> requests = new ConcurrentHashMap<>();
    private final Map<String, Double> clientLeftAt = new ConcurrentHashMap<>();
    private final Map<String, Double> drainedFrom = new ConcurrentHashMap<>();
    private int discoveryOutages;
    private double outageKnownFrom;

    AttemptAuditor(RunMonitor monitor) {
        this.monitor = monitor;
    }

    /** A client sends a request. */
    void requestSent(String requestId, double timeoutSeconds) {
        if (requests.size() > MAX_REMEMBERED_REQUESTS) {
            requests.clear();
        }
        requests.put(requestId, new SentRequest(monitor.clock().seconds(), timeoutSeconds));
    }

    /** The client of a request has closed its connection. */
    void clientLeft(String requestId) {
        clientLeftAt.put(requestId, monitor.clock().seconds());
    }

    /**
     * An endpoint drains.
     *
     * @param fromSeconds the moment from which on nodes may send it no new attempts
     */
    void endpointDrains(String endpointId, double fromSeconds) {
        drainedFrom.put(endpointId, fromSeconds);
    }

    /** Discovery of some node goes down: what changes meanwhile cannot be known there. */
    synchronized void outageBegins() {
        discoveryOutages++;
    }

    /** @param knownFrom the moment from which on what changed meanwhile counts as known, in seconds of the run */
    synchronized void outageEnds(double knownFrom) {
        discoveryOutages--;
        outageKnownFrom = Math.max(outageKnownFrom, knownFrom);
    }

    private synchronized boolean isOutage(double now) {
        return discoveryOutages > 0 || now < outageKnownFrom;
    }

    /**
     * An endpoint has received an attempt; records the rules that it breaks.
     *
     * @param secondsLeft what the endpoint was told that the client has left
     * @param slackSeconds of the rules that count from a moment; the host's own lateness comes on top
     */
    void attemptReceived(String endpointId, String requestId, double secondsLeft, double slackSeconds)
            throws InterruptedException {
        monitor.violations().count("attempts");
        double now = monitor.clock().seconds();
        SentRequest request = requests.get(requestId);
        if (request == null) {
            monitor.violations()
                    .add(SoakRule.REQUEST_ID, endpointId + " was asked for " + requestId + ", which no client sent");
            return;
        }
        Attempt attempt = new Attempt(endpointId, requestId, now, secondsLeft, request);
        if (!brokenRules(attempt, slackSeconds).isEmpty()) {
            // where the host has been late, the thread that measures that may run after this one
            Thread.sleep(LATENESS_MEASURED_MILLIS);
            brokenRules(attempt, slackSeconds).forEach(monitor.violations()::add);
        }
    }

    private Map<SoakRule, String> brokenRules(Attempt attempt, double slackSeconds) {
        // a thread of a client or of the endpoint may have run late at either end
        double slack = slackSeconds + 2 * monitor.lateness().recentSeconds();
        String requestId = attempt.requestId;
        Map<SoakRule, String> broken = new EnumMap<>(SoakRule.class);
        if (attempt.receivedAt > clientLeftAt.getOrDefault(requestId, Double.MAX_VALUE) + slack) {
            broken.put(SoakRule.LOST, "an attempt for " + requestId + " began after its client had left");
        }
        double actuallyLeft = attempt.request.timeoutSeconds - (attempt.receivedAt - attempt.request.sentAt);
        if (attempt.secondsLeft > actuallyLeft + TIME_LEFT_SLACK_SECONDS + slack) {
            broken.put(SoakRule.TIME_LEFT, requestId + " was told " + attempt.secondsLeft + " s");
        }
        if (attempt.receivedAt > drainedFrom.getOrDefault(attempt.endpointId, Double.MAX_VALUE) + slack
                && !isOutage(attempt.receivedAt)) {
            broken.put(SoakRule.DRAIN, attempt.endpointId + " was asked for " + requestId + " though it drains");
        }
        return broken;
    }
}

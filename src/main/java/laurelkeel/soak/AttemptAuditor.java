package laurelkeel.soak;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Checks attempts against the rules that need facts from several participants: which requests clients sent, which clients
 * disconnected, and which endpoints are draining. Thread-safe; all points in time are seconds of the run's clock.
 */
final class AttemptAuditor {
    private static final int MAX_TRACKED_REQUESTS = 50_000;
    /** Gives the thread that measures the host's lateness time to run before the attempt is checked again. */
    private static final long LATENESS_SAMPLE_WAIT_MILLIS = 50;

    private record SentRequest(double sentAt, double timeoutSeconds) {}

    private record Attempt(
            String endpointId, String requestId, double receivedAt, double remainingSeconds, SentRequest request) {}

    /**
     * How far attempts may be beyond what the rules allow, by the users' pages; the host's lateness is added to each.
     *
     * @param disconnectSeconds how long after its client has disconnected an attempt may still arrive
     * @param drainSeconds how long after the grace of its endpoint's drain an attempt may still arrive
     * @param remainingSeconds by how much the remaining time that an attempt states may exceed the client's
     */
    record Slack(double disconnectSeconds, double drainSeconds, double remainingSeconds) {
        static final Slack OF_THE_RULES = new Slack(0.1, 0.05, 0.15);
    }

    private final RunMonitor monitor;
    private final Slack slack;
    private final Map<String, SentRequest> requests = new ConcurrentHashMap<>();
    private final Map<String, Double> clientDisconnectedAt = new ConcurrentHashMap<>();
    private final Map<String, Double> drainEnforcedFrom = new ConcurrentHashMap<>();
    private int discoveryOutages;
    private double changesKnownFrom;

    AttemptAuditor(RunMonitor monitor, Slack slack) {
        this.monitor = monitor;
        this.slack = slack;
    }

    /** Records that a client sends a request. */
    void requestSent(String requestId, double timeoutSeconds) {
        if (requests.size() > MAX_TRACKED_REQUESTS) {
            requests.clear();
        }
        requests.put(requestId, new SentRequest(monitor.clock().seconds(), timeoutSeconds));
    }

    /** Records that the client of a request has closed its connection. */
    void clientDisconnected(String requestId) {
        clientDisconnectedAt.put(requestId, monitor.clock().seconds());
    }

    /**
     * Records that an endpoint starts to drain.
     *
     * @param fromSeconds the time from which nodes must not send it new attempts
     */
    void endpointDraining(String endpointId, double fromSeconds) {
        drainEnforcedFrom.put(endpointId, fromSeconds);
    }

    /** Records that the discovery service of a node goes down: the node cannot learn of changes during the outage. */
    synchronized void outageStarted() {
        discoveryOutages++;
    }

    /**
     * Records that the outage of a discovery service ends.
     *
     * @param knownFrom the time from which the node is expected to know what changed during the outage
     */
    synchronized void outageEnded(double knownFrom) {
        discoveryOutages--;
        changesKnownFrom = Math.max(changesKnownFrom, knownFrom);
    }

    private synchronized boolean isOutage(double now) {
        return discoveryOutages > 0 || now < changesKnownFrom;
    }

    /**
     * Checks an attempt that an endpoint has received, and records the rules that it violates.
     *
     * @param remainingSeconds the remaining time of the client that the attempt states
     */
    void attemptReceived(String endpointId, String requestId, double remainingSeconds) throws InterruptedException {
        monitor.violations().count("attempts");
        double now = monitor.clock().seconds();
        SentRequest request = requests.get(requestId);
        if (request == null) {
            monitor.violations()
                    .add(SoakRule.REQUEST_ID, endpointId + " received " + requestId + ", which no client sent");
            return;
        }
        Attempt attempt = new Attempt(endpointId, requestId, now, remainingSeconds, request);
        if (!violatedRules(attempt).isEmpty()) {
            // if the host has run late, the thread that measures this may itself run after this one
            Thread.sleep(LATENESS_SAMPLE_WAIT_MILLIS);
            violatedRules(attempt).forEach(monitor.violations()::add);
        }
    }

    private Map<SoakRule, String> violatedRules(Attempt attempt) {
        // twice, because the client's thread and the endpoint's thread may each have run late
        double lateness = 2 * monitor.lateness().recentSeconds();
        String requestId = attempt.requestId;
        Map<SoakRule, String> violated = new EnumMap<>(SoakRule.class);
        if (attempt.receivedAt
                > clientDisconnectedAt.getOrDefault(requestId, Double.MAX_VALUE)
                        + slack.disconnectSeconds()
                        + lateness) {
            violated.put(SoakRule.LOST, "an attempt for " + requestId + " began after its client had disconnected");
        }
        double actualRemainingSeconds = attempt.request.timeoutSeconds - (attempt.receivedAt - attempt.request.sentAt);
        if (attempt.remainingSeconds > actualRemainingSeconds + slack.remainingSeconds() + lateness) {
            violated.put(
                    SoakRule.TIME_LEFT,
                    requestId + " arrived with " + attempt.remainingSeconds + " s remaining, more than its client has");
        }
        if (attempt.receivedAt
                        > drainEnforcedFrom.getOrDefault(attempt.endpointId, Double.MAX_VALUE)
                                + slack.drainSeconds()
                                + lateness
                && !isOutage(attempt.receivedAt)) {
            violated.put(SoakRule.DRAIN, attempt.endpointId + " received " + requestId + " while draining");
        }
        return violated;
    }
}

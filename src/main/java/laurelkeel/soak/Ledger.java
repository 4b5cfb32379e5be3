package laurelkeel.soak;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** What clients, servers and the list know of each request and server, for rules that need more than one side. */
final class Ledger {
    /** A node tells its server at most what is left to the client, with this slack (seconds). */
    private static final double TIME_LEFT_SLACK = 0.15;
    private static final int REMEMBERED = 50_000;

    private record Sent(double at, double within) { }

    private final Violations violations;
    private final Map<String, Sent> sent = new ConcurrentHashMap<>();
    private final Map<String, Double> left = new ConcurrentHashMap<>();
    private final Map<String, Double> drained = new ConcurrentHashMap<>();

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

    /** @param allowed slack of the rules that count from a moment, in seconds; this host's own lateness comes on top */
    void attempted(Backend server, String requestId, double timeLeft, double allowed) {
        // a thread of a client or of the server may have run late at either end
        double slack = allowed + 2 * violations.lateness();
        violations.count("attempts");
        double now = violations.seconds();
        Sent request = sent.get(requestId);
        if (request == null) {
            violations.add("id", server.id + " was asked for " + requestId + ", which no client sent");
            return;
        }
        if (now > left.getOrDefault(requestId, Double.MAX_VALUE) + slack) {
            violations.add("lost", "an attempt for " + requestId + " began after its client had left");
        }
        if (timeLeft > request.within - (now - request.at) + TIME_LEFT_SLACK + slack) {
            violations.add("time left", requestId + " was told " + timeLeft + " s");
        }
        if (now > drained.getOrDefault(server.id, Double.MAX_VALUE) + slack) {
            violations.add("drain", server.id + " was asked for " + requestId + " though it drains");
        }
    }
}

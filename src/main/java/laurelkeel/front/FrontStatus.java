package laurelkeel.front;

import java.util.Map;
import laurelkeel.front.ingress.ClientState;
import laurelkeel.front.ingress.CloseReason;

/** The status of a front node, for health checks and metrics. Thread-safe. */
public interface FrontStatus {
    /** Returns the node's health: ok, draining (also once drained) or failed. */
    String health();

    /** Returns the number of requests that were accepted and are not finished yet. */
    int activeRequests();

    /** Returns the number of open client connections. */
    int clientConnections();

    /** Returns the number of client connections closed since the start, by reason. */
    Map<CloseReason, Long> closedConnections();

    /** Returns the number of attempts that the decider has asked for since the start while their client was in a state. */
    long attempts(ClientState client);

    /** Returns the number of open connections to endpoints. */
    int endpointConnections();

    /**
     * Returns the number of requests and connections that were rejected since the start before the decider was informed
     * of them.
     */
    int rejectedBeforeDecision();

    /** Returns the number of bytes that client connections hold undecoded, behind requests that are not answered yet. */
    long readAheadBytes();

    /** Returns the number of bytes reserved for request bodies from clients and response bodies from endpoints. */
    long bodyBytes();
}

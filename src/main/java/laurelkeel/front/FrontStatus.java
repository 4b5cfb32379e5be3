package laurelkeel.front;

import java.util.Map;
import laurelkeel.front.ingress.CloseReason;

/** What a front node reports of itself, for health checks and metrics. Thread-safe. */
public interface FrontStatus {
    /** The node's health: ok, draining or failed. */
    String health();

    /** Requests that were accepted and are not finished yet. */
    int activeRequests();

    /** Open connections of clients. */
    int clientConnections();

    /** Connections of clients that have ended since the start, by reason. */
    Map<CloseReason, Long> closedConnections();

    /** Open connections to endpoints. */
    int endpointConnections();

    /** Requests and connections that were rejected before the decider saw them. */
    int rejectedBeforeDecision();

    /** Bytes of message bodies that are held on both sides. */
    long bodyBytes();
}

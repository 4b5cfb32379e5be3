package laurelkeel.front;

import java.util.Map;
import laurelkeel.front.ingress.CloseReason;

/** What a front tells of itself, for health checks and metrics; on any thread. */
public interface FrontStatus {
    /** ok, draining or failed. */
    String health();

    /** Requests taken and not yet answered. */
    int activeRequests();

    /** Clients' connections that are open. */
    int clientConnections();

    /** Clients' connections that have ended since the start, by reason. */
    Map<CloseReason, Long> closedConnections();

    /** Connections to machines that are open. */
    int endpointConnections();

    /** Requests and connections turned away before the decision module saw them. */
    int rejectedBeforeDecision();

    /** Bytes of bodies held on both sides. */
    long bodyBytes();
}

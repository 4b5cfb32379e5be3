package laurelkeel.front.ingress;

import laurelkeel.wire.HttpRequest;
import org.jspecify.annotations.Nullable;

/**
 * Handles the requests that an {@link Ingress} receives, and provides the state by which the ingress decides whether to accept
 * more. Called on the event loop's thread.
 */
public interface IngressListener {
    /**
     * Called when a request is the next one to handle on its connection.
     *
     * @param arrivedTicks time when its last byte was read
     */
    void onRequest(ClientConnection connection, ClientRequest request, long arrivedTicks);

    /** Called when a request to the node itself is the next one to handle on its connection. */
    void onNodeRequest(ClientConnection connection, HttpRequest request);

    /**
     * Called when a connection with a request in progress has ended.
     *
     * @param token the token of that request, see {@link ClientConnection#setCurrentToken}; null for none
     */
    void onDisconnect(@Nullable Object token);

    /** Returns the number of requests in flight. */
    int activeRequests();

    /** Whether each response closes its connection because the node is shutting down; false during the lame-duck period. */
    boolean isClosingConnections();

    /** Whether the node has stopped making decisions, so that all further requests are rejected. */
    boolean hasEnded();
}

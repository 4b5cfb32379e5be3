package laurelkeel.front.ingress;

import laurelkeel.wire.HttpRequest;
import org.jspecify.annotations.Nullable;

/** Receives requests from the {@link Ingress}, and tells it whether more are welcome; called on the event loop's thread. */
public interface IngressListener {
    /**
     * Called when a request's turn on its connection has come.
     *
     * @param arrivedTicks when its last byte was read
     */
    void onRequest(ClientConnection connection, ClientRequest request, long arrivedTicks);

    /** Called when the turn of a request to the node itself has come. */
    void onNodeRequest(ClientConnection connection, HttpRequest request);

    /**
     * Called when a connection with a request in progress is gone.
     *
     * @param current the token of that request, see {@link ClientConnection#setCurrentToken}; null for none
     */
    void onDisconnect(@Nullable Object current);

    /** Returns the number of requests in flight. */
    int activeRequests();

    /** Whether the node is shutting down so far that each response closes its connection; not yet in its lame-duck period. */
    boolean isClosingConnections();

    /** Whether the node makes no decisions any more, so that all further requests are rejected. */
    boolean hasEnded();
}

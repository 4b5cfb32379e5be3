package laurelkeel.front.ingress;

import laurelkeel.wire.HttpRequest;

/** What the ingress tells the front, on the front's own thread. */
public interface IngressListener {
    /** A req whose turn on its connection has come; arrived is the moment its last byte was read. */
    void onRequest(ClientConnection from, ClientRequest asked, long arrived);

    /** A message for the front itself. */
    void onNodeRequest(ClientConnection from, HttpRequest http);

    /** The connection is gone; current is the token of the req in progress on it, or null. */
    void onDisconnect(Object current);

    /** How many reqs are held. */
    int activeRequests();

    boolean isDraining();

    /** Nothing is decided any more: what still comes is refused. */
    boolean hasEnded();
}

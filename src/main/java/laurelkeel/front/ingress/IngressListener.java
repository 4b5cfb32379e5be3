package laurelkeel.front.ingress;

import laurelkeel.wire.HttpRequest;

/** What the ingress tells the front, on the front's own thread. */
public interface IngressListener {
    /** A req whose turn on its connection has come; arrived is the moment its last byte was read. */
    void taken(ClientConnection from, ClientRequest asked, long arrived);

    /** A message for the front itself. */
    void own(ClientConnection from, HttpRequest http);

    /** The connection is gone; current is the token of the req in progress on it, or null. */
    void left(Object current);

    /** How many reqs are held. */
    int held();

    boolean draining();

    /** Nothing is decided any more: what still comes is refused. */
    boolean ended();
}

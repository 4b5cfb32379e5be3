package laurelkeel.front.ingress;

import laurelkeel.wire.HttpReq;

/** What the ingress tells the front, on the front's own thread. */
public interface Door {
    /** A req whose turn on its connection has come; arrived is the moment its last byte was read. */
    void taken(ClientConn from, Asked asked, long arrived);

    /** A message for the front itself. */
    void own(ClientConn from, HttpReq http);

    /** The connection is gone; current is the token of the req in progress on it, or null. */
    void left(Object current);

    /** How many reqs are held. */
    int held();

    boolean draining();

    /** Nothing is decided any more: what still comes is refused. */
    boolean ended();
}

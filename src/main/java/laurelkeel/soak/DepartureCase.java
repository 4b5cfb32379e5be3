package laurelkeel.soak;

/**
 * One way for a client to leave.
 *
 * @param signal sent to the node as the client leaves; empty for none
 * @param returns whether the first requests come again with the same ids on a new connection after the client has left
 */
record DepartureCase(NodeKind node, EndpointScript script, String signal, ClientDeparture departure, boolean returns) {
    /** Creates a case in which no request comes again. */
    DepartureCase(NodeKind node, EndpointScript script, String signal, ClientDeparture departure) {
        this(node, script, signal, departure, false);
    }

    @Override
    public String toString() {
        return node + " " + script + (signal.isEmpty() ? "" : "+" + signal) + " " + departure
                + (returns ? " and returns" : "");
    }
}

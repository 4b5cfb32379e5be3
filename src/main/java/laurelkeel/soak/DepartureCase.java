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

    /** Returns how attempts end, and the signal that the node gets. */
    String attempts() {
        return script + (signal.isEmpty() ? "" : "+" + signal);
    }

    /** Returns what the client does. */
    String client() {
        return departure + (returns ? " and returns" : "");
    }

    @Override
    public String toString() {
        return node + " " + attempts() + " " + client();
    }
}

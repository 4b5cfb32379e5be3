package laurelkeel.soak;

/**
 * One way for a client to leave.
 *
 * @param signal sent to the node as the client leaves; empty for none
 */
record DepartureCase(NodeKind node, EndpointScript script, String signal, ClientDeparture departure) {
    @Override
    public String toString() {
        return node + " " + script + (signal.isEmpty() ? "" : "+" + signal) + " " + departure;
    }
}

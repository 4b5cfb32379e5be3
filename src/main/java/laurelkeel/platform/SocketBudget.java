package laurelkeel.platform;

/**
 * The division of a process's file descriptors among its connections.
 *
 * @param clientConnections maximum number of client connections
 * @param spareClientConnections additional client connections that may be open while others are closed to free slots
 * @param endpointConnections maximum number of connections to all endpoints together
 */
record SocketBudget(int clientConnections, int spareClientConnections, int endpointConnections) {
    /** For the files and selectors of the runtime, the listener, discovery and the control service. */
    private static final int OWN_DESCRIPTORS = 48;

    private static final double CLIENT_SHARE = 0.44;
    private static final int SPARE_DIVISOR = 4;
    private static final int MIN_CONNECTIONS = 8;

    /** @param descriptors number of file descriptors that the process may have open */
    static SocketBudget of(int descriptors) {
        int available = descriptors - OWN_DESCRIPTORS;
        int clients = Math.max(MIN_CONNECTIONS, (int) (available * CLIENT_SHARE));
        int spare = clients / SPARE_DIVISOR;
        int endpoints = Math.max(MIN_CONNECTIONS, available - clients - spare);
        return new SocketBudget(clients, spare, endpoints);
    }
}

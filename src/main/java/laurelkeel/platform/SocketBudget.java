package laurelkeel.platform;

/**
 * How the descriptors that a process may hold are divided.
 *
 * @param clientConnections connections of clients
 * @param spareClientConnections connections of clients that may come on top while others are closed for them
 * @param endpointConnections connections to all endpoints
 */
record SocketBudget(int clientConnections, int spareClientConnections, int endpointConnections) {
    /** The runtime's files and selectors, the listener, discovery and the control service. */
    private static final int OWN_DESCRIPTORS = 48;

    private static final double CLIENT_SHARE = 0.44;
    private static final int SPARE_DIVISOR = 4;
    private static final int MIN_CONNECTIONS = 8;

    /** @param descriptors how many the process may hold */
    static SocketBudget of(int descriptors) {
        int available = descriptors - OWN_DESCRIPTORS;
        int clients = Math.max(MIN_CONNECTIONS, (int) (available * CLIENT_SHARE));
        int spare = clients / SPARE_DIVISOR;
        int endpoints = Math.max(MIN_CONNECTIONS, available - clients - spare);
        return new SocketBudget(clients, spare, endpoints);
    }
}

package laurelkeel.decision;

/**
 * An attempt of a request at one endpoint.
 *
 * @param number from 0, in the order of the request's attempts
 * @param endpoint the process that the attempt was sent to; its id may be reassigned to another process later
 * @param isEndpointSettled whether the endpoint had run long enough for its outcomes to count for its build
 * @param inFlightAtEndpoint this node's attempts in flight at the endpoint when this one was sent, including this one
 * @param concurrencyLevel the endpoint's level when the attempt was sent, see {@link RouteLatency#concurrencyLevel}
 */
record Attempt(
        int number,
        Endpoint endpoint,
        long sentAtTicks,
        boolean isEndpointSettled,
        int inFlightAtEndpoint,
        int concurrencyLevel) {}

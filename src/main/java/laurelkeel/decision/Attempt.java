package laurelkeel.decision;

/**
 * An attempt of a request at one endpoint.
 *
 * @param number from 0, in the order of the request's attempts
 * @param endpoint as it was when the attempt was sent: the id can come to name another process
 * @param isEndpointSettled whether the endpoint had run for long enough for its outcomes to count for its build
 * @param inFlightAtEndpoint this node's attempts in flight at the endpoint when it was sent, with this one
 * @param concurrencyLevel of the endpoint when it was sent, as in {@link RouteLatency#concurrencyLevel}
 */
record Attempt(
        int number,
        Endpoint endpoint,
        long sentAtTicks,
        boolean isEndpointSettled,
        int inFlightAtEndpoint,
        int concurrencyLevel) {}

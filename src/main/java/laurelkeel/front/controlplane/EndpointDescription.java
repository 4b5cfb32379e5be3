package laurelkeel.front.controlplane;

import laurelkeel.api.Event.EndpointState;

/**
 * An endpoint as described by the endpoint list service.
 *
 * @param endpointId its address
 * @param build the build that it runs
 * @param zone the name of its zone
 * @param cell a small group of endpoints that share their knowledge of partition keys
 * @param kind the index of its kind of endpoint
 * @param weight its capacity relative to other endpoints; 0 if the service does not specify it
 * @param incarnation distinguishes successive starts of an endpoint at the same address
 * @param ageMillis the time since the start of this incarnation when the description was sent; negative if the endpoint
 *     started long ago
 */
public record EndpointDescription(
        String endpointId,
        int build,
        String zone,
        int cell,
        int kind,
        double weight,
        EndpointState state,
        long incarnation,
        double ageMillis) {}

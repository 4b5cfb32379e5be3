package laurelkeel.front.controlplane;

import laurelkeel.api.Event.EndpointState;

/**
 * One endpoint as the endpoint list service describes it.
 *
 * @param endpointId its address
 * @param build the build that it runs
 * @param zone a zone's name
 * @param cell a small group of endpoints that share what they know of partition keys
 * @param kind index of its kind of endpoint
 * @param weight its capacity beside that of other endpoints; 0 where the service does not say
 * @param incarnation which start under this address it is
 * @param ageMillis how long ago that start was, when the description was sent; below 0 for long ago
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

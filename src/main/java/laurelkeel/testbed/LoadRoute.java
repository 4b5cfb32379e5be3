package laurelkeel.testbed;

import laurelkeel.records.TrafficRecord;

/**
 * A route as clients use it.
 *
 * @param path the prefix of request paths
 * @param timeoutTicks how long a client waits for a call, including retries
 * @param share weight of the route among all calls
 */
public record LoadRoute(
        String name, String method, String path, TrafficRecord.RoutePolicy policy, long timeoutTicks, double share) {}

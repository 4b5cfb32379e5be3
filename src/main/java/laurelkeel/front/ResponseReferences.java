package laurelkeel.front;

import org.jspecify.annotations.Nullable;

/**
 * The origins of the most recent completed responses by request number, in a ring buffer of fixed size. Not
 * thread-safe; used on the event loop's thread.
 */
final class ResponseReferences {
    /**
     * The endpoint and attempt that a response came from.
     *
     * @param sentAtTicks when the attempt was sent
     */
    record Origin(String endpointId, long sentAtTicks, int route, int tenant) {}

    private final int mask;
    // one array for each field, since long-lived objects for each response would burden the garbage collector
    private final long[] requestNumbers;
    private final @Nullable String[] endpointIds;
    private final long[] sentAtTicks;
    private final int[] routes;
    private final int[] tenants;

    /**
     * Creates a ring buffer.
     *
     * @param capacity a power of two
     */
    ResponseReferences(int capacity) {
        mask = capacity - 1;
        requestNumbers = new long[capacity];
        endpointIds = new String[capacity];
        sentAtTicks = new long[capacity];
        routes = new int[capacity];
        tenants = new int[capacity];
    }

    private int slot(long requestNumber) {
        return (int) (requestNumber & mask);
    }

    /** Stores the origin of a response; it overwrites an older one. */
    void put(long requestNumber, Origin origin) {
        int slot = slot(requestNumber);
        requestNumbers[slot] = requestNumber;
        endpointIds[slot] = origin.endpointId;
        sentAtTicks[slot] = origin.sentAtTicks;
        routes[slot] = origin.route;
        tenants[slot] = origin.tenant;
    }

    /**
     * Removes and returns the origin of a response.
     *
     * @return null if it is unknown, was overwritten or was taken before
     */
    @Nullable
    Origin take(long requestNumber) {
        int slot = slot(requestNumber);
        String endpointId = endpointIds[slot];
        if (requestNumber < 0 || requestNumbers[slot] != requestNumber || endpointId == null) {
            return null;
        }
        endpointIds[slot] = null;
        return new Origin(endpointId, sentAtTicks[slot], routes[slot], tenants[slot]);
    }
}

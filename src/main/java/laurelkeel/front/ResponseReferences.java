package laurelkeel.front;

import org.jspecify.annotations.Nullable;

/**
 * The origins of the last completed responses, by the numbers of their requests, in a ring of fixed size. Not
 * thread-safe; used on the event loop's thread.
 */
final class ResponseReferences {
    /**
     * Where a response came from.
     *
     * @param sentAtTicks when the attempt that it answers was sent
     */
    record Origin(String endpointId, long sentAtTicks, int route, int tenant) {}

    private final int mask;
    // one array a field: an object a response, kept this long, would be work for the garbage collector
    private final long[] requestNumbers;
    private final @Nullable String[] endpointIds;
    private final long[] sentAtTicks;
    private final int[] routes;
    private final int[] tenants;

    /**
     * Creates a ring.
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

    /** Keeps the origin of a response in place of an older one. */
    void put(long requestNumber, Origin origin) {
        int slot = slot(requestNumber);
        requestNumbers[slot] = requestNumber;
        endpointIds[slot] = origin.endpointId;
        sentAtTicks[slot] = origin.sentAtTicks;
        routes[slot] = origin.route;
        tenants[slot] = origin.tenant;
    }

    /**
     * Takes the origin of a response out.
     *
     * @return null where it is unknown, too old or taken already
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

package laurelkeel.front;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import laurelkeel.front.ingress.ClientConnection;
import laurelkeel.front.ingress.ClientRequest;
import org.jspecify.annotations.Nullable;

/**
 * The active requests of a front node by id, and the request ids that their clients set. Not thread-safe; used on the
 * event loop's thread.
 */
final class AcceptedRequestTable {
    private static final int ID_RADIX = 36;

    private final String incarnation;
    private final Map<String, AcceptedRequest> requests = new HashMap<>();
    private final Set<String> clientRequestIds = new HashSet<>();
    private long nextNumber;

    AcceptedRequestTable(String incarnation) {
        this.incarnation = incarnation;
    }

    /**
     * Reserves the request id that the client set, if it set one.
     *
     * @return false if another active request has the same id
     */
    boolean reserveClientRequestId(ClientRequest request) {
        String id = request.clientRequestId();
        return id == null || clientRequestIds.add(id);
    }

    /** Releases the request id that the client set, so that a later request may use it. */
    void releaseClientRequestId(ClientRequest request) {
        clientRequestIds.remove(request.clientRequestId());
    }

    /** Creates a request with the next id, without adding it to the table. */
    AcceptedRequest create(ClientConnection connection, ClientRequest request, long nowTicks, long deadlineTicks) {
        long number = nextNumber++;
        return new AcceptedRequest(requestId(number), number, connection, request, nowTicks, deadlineTicks);
    }

    private String requestId(long number) {
        return incarnation + "-" + Long.toString(number, ID_RADIX);
    }

    /**
     * Parses the number of a request out of its id.
     *
     * @return the number, or -1 if the text is not an id of this incarnation
     */
    static long requestNumber(String requestId, String incarnation) {
        String prefix = incarnation + "-";
        if (!requestId.startsWith(prefix)) {
            return -1;
        }
        try {
            return Long.parseLong(requestId.substring(prefix.length()), ID_RADIX);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    void add(AcceptedRequest request) {
        requests.put(request.id(), request);
    }

    /** Removes a request and releases its client's request id; returns false if it is not in the table. */
    boolean remove(AcceptedRequest request) {
        if (requests.remove(request.id()) == null) {
            return false;
        }
        releaseClientRequestId(request.clientRequest());
        return true;
    }

    @Nullable
    AcceptedRequest get(String id) {
        return requests.get(id);
    }

    int size() {
        return requests.size();
    }

    /** Returns a copy of the present requests, for callers that add or remove requests while iterating. */
    List<AcceptedRequest> snapshot() {
        return List.copyOf(requests.values());
    }

    boolean hasUnanswered() {
        return requests.values().stream().anyMatch(request -> !request.isAnswered());
    }
}

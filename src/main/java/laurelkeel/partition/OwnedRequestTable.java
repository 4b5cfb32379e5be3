package laurelkeel.partition;

import java.util.HashMap;
import java.util.Map;
import laurelkeel.api.Event.AttemptEnded;
import laurelkeel.api.Event.RequestReceived;
import org.jspecify.annotations.Nullable;

/** The requests that are not complete, with the partition that owns each of them. Not thread-safe. */
final class OwnedRequestTable {
    private final Map<String, OwnedRequest> requests = new HashMap<>();

    void add(RequestReceived received, TrafficPartition owner, long nowTicks) {
        requests.put(received.requestId(), new OwnedRequest(owner, received.partitionKey(), received.route()));
        owner.onRequestAssigned(received.route(), nowTicks);
    }

    /** Returns a request that is not complete, or null. */
    @Nullable
    OwnedRequest find(String requestId) {
        return requests.get(requestId);
    }

    /** Records the end of one of the request's attempts. */
    void onAttemptEnded(OwnedRequest request, AttemptEnded ended) {
        request.onAttemptEnded(ended);
        removeIfComplete(ended.requestId(), request);
    }

    /** Records that a request has its final answer or that none is required any more; ignores an unknown request. */
    void onAnswered(String requestId) {
        OwnedRequest request = requests.get(requestId);
        if (request != null) {
            request.markAnswered();
            removeIfComplete(requestId, request);
        }
    }

    private void removeIfComplete(String requestId, OwnedRequest request) {
        if (request.isComplete()) {
            requests.remove(requestId);
            request.partition().onRequestCompleted();
        }
    }
}

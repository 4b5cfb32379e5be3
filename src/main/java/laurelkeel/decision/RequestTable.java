package laurelkeel.decision;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** The active requests of one node, and the subset of them that is pending in the current decision. */
final class RequestTable {
    private final Map<String, ActiveRequest> requestsById = new HashMap<>();
    private final Set<ActiveRequest> pending = new LinkedHashSet<>();

    void add(ActiveRequest request) {
        requestsById.put(request.id(), request);
    }

    @Nullable
    ActiveRequest find(String requestId) {
        return requestsById.get(requestId);
    }

    void remove(ActiveRequest request) {
        requestsById.remove(request.id());
    }

    /** Marks a request as pending in the current decision. */
    void markPending(ActiveRequest request) {
        pending.add(request);
    }

    /** Returns the pending requests in the order in which they were first marked. */
    Collection<ActiveRequest> pending() {
        return pending;
    }

    void clearPending() {
        pending.clear();
    }
}

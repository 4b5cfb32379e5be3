package laurelkeel.decision;

import laurelkeel.api.Event.AttemptEnded;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.api.Event.RequestReceived;
import laurelkeel.api.LoadReport;
import laurelkeel.api.Settings.DeduplicationScope;
import laurelkeel.api.Settings.Idempotency;
import laurelkeel.api.Settings.Route;
import laurelkeel.api.Ticks;
import org.jspecify.annotations.Nullable;

/** Creates requests, attempts and endpoints for the tests of single classes. */
final class DecisionFixtures {
    static final long SECOND = Ticks.PER_SECOND;
    static final long OBJECTIVE_TICKS = SECOND;
    static final long DEDUPLICATION_WINDOW_TICKS = 2 * SECOND;

    private DecisionFixtures() {}

    static Route route(Idempotency idempotency, DeduplicationScope scope) {
        return new Route(idempotency, scope, OBJECTIVE_TICKS, 3 * SECOND, 1, 0, DEDUPLICATION_WINDOW_TICKS);
    }

    static Route route(Idempotency idempotency) {
        return route(idempotency, DeduplicationScope.ALL);
    }

    /** Returns a request that arrived at time 0 and has a deadline of three seconds. */
    static ActiveRequest request(Route route, @Nullable String partitionKey) {
        RequestReceived received = new RequestReceived("r", 0, 0, partitionKey, 3 * SECOND, 0, false);
        return new ActiveRequest(received, route, 0.5, false, 0);
    }

    static ActiveRequest request(Idempotency idempotency) {
        return request(route(idempotency), "key");
    }

    static EndpointEntry entry(String id, int build, int zone, int cell, long startedAtTicks) {
        return new EndpointEntry(id, build, zone, cell, 0, 1, EndpointState.ACTIVE, startedAtTicks);
    }

    /** Returns an active endpoint of capacity 1 that started long ago. */
    static Endpoint endpoint(String id, int build, int zone, int cell) {
        return activate(new Endpoint(entry(id, build, zone, cell, 0), 0));
    }

    static Endpoint endpoint(String id) {
        return endpoint(id, 1, 0, 0);
    }

    static Endpoint endpointStartedAt(long startedAtTicks) {
        return activate(new Endpoint(entry("e", 1, 0, 0, startedAtTicks), 0));
    }

    private static Endpoint activate(Endpoint endpoint) {
        endpoint.setCapacity(1);
        endpoint.setActive(true);
        return endpoint;
    }

    /** Sends an attempt of a request to an endpoint. */
    static Attempt send(ActiveRequest request, Endpoint endpoint, long nowTicks) {
        Attempt attempt = new Attempt(request.attemptCount(), endpoint, nowTicks, true, 1, 0);
        request.attemptSent(attempt);
        return attempt;
    }

    /** Sends an attempt of a request to an endpoint and ends it immediately. */
    static void attempt(ActiveRequest request, Endpoint endpoint, AttemptOutcome outcome, long nowTicks) {
        Attempt attempt = send(request, endpoint, nowTicks);
        request.attemptEnded(ended(attempt, outcome, false));
    }

    static AttemptEnded ended(Attempt attempt, AttemptOutcome outcome, boolean requestEnded) {
        return new AttemptEnded(
                "r", attempt.number(), attempt.endpoint().id(), outcome, 10, requestEnded, LoadReport.NONE);
    }
}

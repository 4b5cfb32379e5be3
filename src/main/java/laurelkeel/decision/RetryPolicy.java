package laurelkeel.decision;

import laurelkeel.api.Settings.DeduplicationScope;
import laurelkeel.api.Settings.Idempotency;
import laurelkeel.api.Settings.Route;
import laurelkeel.api.Ticks;
import org.jspecify.annotations.Nullable;

/**
 * Which requests may be sent again or rejected without taking effect twice.
 *
 * <p>What provably never ran may always be sent again. What may have run may be sent again where it is idempotent, or
 * where the endpoints that know its first attempt still drop the repeat.
 */
final class RetryPolicy {
    /** A repeat sent this close to the end of the deduplication window could arrive after it. */
    private static final long DEDUPLICATION_MARGIN_TICKS = Ticks.PER_SECOND / 10;

    private final int maxAttempts;

    /** @param maxAttempts of one request, with its first */
    RetryPolicy(int maxAttempts) {
        this.maxAttempts = maxAttempts;
    }

    /** Whether another attempt may be sent, to an endpoint of {@link #knowsFirstAttempt}. */
    boolean mayAttempt(ActiveRequest request, long nowTicks) {
        if (request.attemptCount() >= maxAttempts) {
            return false;
        }
        Attempt first = request.firstPossibleRun();
        return first == null
                || switch (request.route().idempotency()) {
                    case IDEMPOTENT -> true;
                    case DEDUPLICATED -> isInWindow(first, request.route(), nowTicks);
                    case NOT_IDEMPOTENT -> false;
                };
    }

    /** Whether one more attempt may follow the next one, whatever comes of that. */
    boolean mayRepeatNext(ActiveRequest request) {
        return request.route().idempotency() != Idempotency.NOT_IDEMPOTENT && request.attemptCount() + 1 < maxAttempts;
    }

    /** Whether a retry at an endpoint does no harm: nothing has run, the route is idempotent, or the endpoint knows repeats. */
    boolean isSafeForRetry(ActiveRequest request, Endpoint endpoint) {
        Attempt first = request.firstPossibleRun();
        Route route = request.route();
        if (first == null || route.idempotency() != Idempotency.DEDUPLICATED) {
            return true;
        }
        return switch (route.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> first.endpoint().zone() == endpoint.zone();
            case CELL -> first.endpoint().cell() == endpoint.cell();
        };
    }

    /** Whether the client may be told that the request had no effect, and so may send it again through any node. */
    boolean mayReject(ActiveRequest request, long nowTicks) {
        Attempt first = firstPossibleRunOrInFlight(request);
        Route route = request.route();
        if (first == null || route.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        return route.idempotency() == Idempotency.DEDUPLICATED
                && route.deduplicationScope() == DeduplicationScope.ALL
                && isInWindow(first, route, nowTicks);
    }

    private static @Nullable Attempt firstPossibleRunOrInFlight(ActiveRequest request) {
        Attempt first = request.firstPossibleRun();
        return first == null ? request.attemptInFlight() : first;
    }

    private static boolean isInWindow(Attempt first, Route route, long nowTicks) {
        return nowTicks + DEDUPLICATION_MARGIN_TICKS < first.sentAtTicks() + route.deduplicationWindowTicks();
    }
}

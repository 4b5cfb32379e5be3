package laurelkeel.decision;

import laurelkeel.api.Settings.DeduplicationScope;
import laurelkeel.api.Settings.Idempotency;
import laurelkeel.api.Settings.Route;
import laurelkeel.api.Ticks;
import org.jspecify.annotations.Nullable;

/**
 * Decides which requests may be sent again or rejected without the risk that they take effect twice.
 *
 * <p>A request that provably never ran may always be sent again. A request that may have run may be sent again if it is
 * idempotent, or if the endpoints that recognize repeats of its first attempt would still drop the repeat.
 */
final class RetryPolicy {
    /** A repeat sent this close to the end of the deduplication window could arrive after the window. */
    private static final long DEDUPLICATION_MARGIN_TICKS = Ticks.PER_SECOND / 10;

    private final int maxAttempts;

    /** @param maxAttempts maximum number of attempts per request, including the first */
    RetryPolicy(int maxAttempts) {
        this.maxAttempts = maxAttempts;
    }

    /** Returns whether another attempt may be sent, to an endpoint for which {@link #isSafeForRetry} holds. */
    boolean mayAttempt(ActiveRequest request, long nowTicks) {
        if (request.attemptCount() >= maxAttempts) {
            return false;
        }
        Attempt first = request.firstPossibleRun();
        return first == null
                || switch (request.route().idempotency()) {
                    case IDEMPOTENT -> true;
                    case DEDUPLICATED -> isWithinDeduplicationWindow(first, request.route(), nowTicks);
                    case NOT_IDEMPOTENT -> false;
                };
    }

    /** Returns whether another attempt may follow the next one, regardless of the outcome of the next one. */
    boolean mayRetryNext(ActiveRequest request) {
        return request.route().idempotency() != Idempotency.NOT_IDEMPOTENT && request.attemptCount() + 1 < maxAttempts;
    }

    /**
     * Returns whether an endpoint is in the deduplication scope of the first attempt that may have run. It always is if
     * nothing may have run or the route is not deduplicated.
     */
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

    /** Returns whether the request may be rejected, which allows the client to send it again through any node. */
    boolean mayReject(ActiveRequest request, long nowTicks) {
        Attempt first = firstPossibleRunOrInFlight(request);
        Route route = request.route();
        if (first == null || route.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        return route.idempotency() == Idempotency.DEDUPLICATED
                && route.deduplicationScope() == DeduplicationScope.ALL
                && isWithinDeduplicationWindow(first, route, nowTicks);
    }

    private static @Nullable Attempt firstPossibleRunOrInFlight(ActiveRequest request) {
        Attempt first = request.firstPossibleRun();
        return first == null ? request.attemptInFlight() : first;
    }

    private static boolean isWithinDeduplicationWindow(Attempt first, Route route, long nowTicks) {
        return nowTicks + DEDUPLICATION_MARGIN_TICKS < first.sentAtTicks() + route.deduplicationWindowTicks();
    }
}

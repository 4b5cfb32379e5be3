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

    /** The result of {@link #latestWriteTicks} for attempts without a limit. */
    static final long ALWAYS = Long.MAX_VALUE;

    /** The result of {@link #latestWriteTicks} for attempts that must not be written. */
    static final long NEVER = Long.MIN_VALUE;

    private final int maxAttempts;

    /** @param maxAttempts maximum number of attempts per request, including the first */
    RetryPolicy(int maxAttempts) {
        this.maxAttempts = maxAttempts;
    }

    /** Returns whether another attempt may be sent, to an endpoint for which {@link #isSafeForRetry} holds. */
    boolean mayAttempt(ActiveRequest request, long nowTicks) {
        return request.attemptCount() < maxAttempts && nowTicks <= latestWriteTicks(request);
    }

    /**
     * Returns the last tick at which an attempt of a request may be written: {@link #ALWAYS} or {@link #NEVER}, unless endpoints
     * recognize it as a repeat for a limited time.
     */
    long latestWriteTicks(ActiveRequest request) {
        Attempt first = request.firstPossibleRun();
        if (first == null) {
            return ALWAYS;
        }
        return switch (request.route().idempotency()) {
            case IDEMPOTENT -> ALWAYS;
            case DEDUPLICATED -> latestRepeatTicks(first, request.route());
            case NOT_IDEMPOTENT -> NEVER;
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
                && nowTicks <= latestRepeatTicks(first, route);
    }

    private static @Nullable Attempt firstPossibleRunOrInFlight(ActiveRequest request) {
        Attempt first = request.firstPossibleRun();
        return first == null ? request.attemptInFlight() : first;
    }

    /** Returns the last tick at which a repeat may be written so that it arrives while endpoints remember the first attempt. */
    private static long latestRepeatTicks(Attempt first, Route route) {
        return first.sentAtTicks() + route.deduplicationWindowTicks() - DEDUPLICATION_MARGIN_TICKS - 1;
    }
}

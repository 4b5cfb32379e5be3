package laurelkeel.testbed;

import laurelkeel.records.RecordTerms;
import org.jspecify.annotations.Nullable;

/** One call of a client: a first request and its retries. Not thread-safe; used on the generator's loop. */
final class ClientCall {
    final String callId;
    final LoadRoute route;
    final @Nullable String tenant;
    final @Nullable String partitionKey;
    final @Nullable String idempotencyKey;
    final long startTicks;
    final RouteStatistics statistics;
    int retries;
    int connectFailures;

    ClientCall(
            String callId,
            LoadRoute route,
            @Nullable String tenant,
            @Nullable String partitionKey,
            long startTicks,
            RouteStatistics statistics) {
        this.callId = callId;
        this.route = route;
        this.tenant = tenant;
        this.partitionKey = partitionKey;
        this.idempotencyKey =
                route.policy().idempotency() == RecordTerms.Idempotency.DEDUPLICATED ? "m-" + callId : null;
        this.startTicks = startTicks;
        this.statistics = statistics;
    }

    /** Returns the time at which the client stops waiting. */
    long deadlineTicks() {
        return startTicks + route.timeoutTicks();
    }

    /**
     * Returns whether another request is safe although an earlier one may have been executed. A route that deduplicates
     * across all servers allows it only in the first half of its window, counted from the start of the call; the
     * servers' window began with an attempt, which came later.
     */
    boolean isRetrySafe(long nowTicks) {
        return switch (route.policy().idempotency()) {
            case IDEMPOTENT -> true;
            case NOT_IDEMPOTENT -> false;
            case DEDUPLICATED ->
                route.policy().deduplicationScope() == RecordTerms.DeduplicationScope.ALL
                        && nowTicks < startTicks + route.policy().deduplicationWindowTicks() / 2;
        };
    }
}

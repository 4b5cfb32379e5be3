package laurelkeel.decision;

import org.jspecify.annotations.Nullable;

/**
 * Picks the endpoint of a build for an attempt: the next in turn of those that may take it.
 *
 * <p>Endpoints that are ejected, or failed this request before, are picked only where there are no others. Never picked
 * are those that would overload while they warm up, and those that could let a request take effect twice.
 */
final class EndpointPicker {
    private final EndpointRegistry endpoints;
    private final RetryPolicy retryPolicy;
    private final SlowStart slowStart;
    private final OwnThroughput throughput;

    // indices of the endpoints found by the last classification
    private int[] usable = new int[0];
    private int usableCount;
    private int[] avoided = new int[0];
    private int avoidedCount;

    EndpointPicker(EndpointRegistry endpoints, RetryPolicy retryPolicy, SlowStart slowStart, OwnThroughput throughput) {
        this.endpoints = endpoints;
        this.retryPolicy = retryPolicy;
        this.slowStart = slowStart;
        this.throughput = throughput;
    }

    /** Picks an endpoint of a build; null where none may take the request. */
    @Nullable
    Endpoint pick(int build, ActiveRequest request, long nowTicks) {
        BuildEndpoints pool = endpoints.pool(build);
        if (pool == null) {
            return null;
        }
        int[] subset = pool.subset();
        if (pool.areAllEligible() && request.mayUseAnyEndpoint()) {
            return pool.next(subset, subset.length);
        }
        classify(pool, subset, request, nowTicks);
        if (2 * usableCount < subset.length && subset.length < pool.size()) {
            // the few that are left would get all requests of the others
            classify(pool, pool.all(), request, nowTicks);
        }
        return usableCount > 0 ? pool.next(usable, usableCount) : pool.next(avoided, avoidedCount);
    }

    private void classify(BuildEndpoints pool, int[] from, ActiveRequest request, long nowTicks) {
        if (usable.length < pool.size()) {
            usable = new int[pool.size()];
            avoided = new int[pool.size()];
        }
        usableCount = 0;
        avoidedCount = 0;
        boolean isUnrestricted = true;
        for (int index : from) {
            Endpoint endpoint = pool.endpoint(index);
            if (!endpoint.isWeightStable()) {
                endpoint.updateWeight(slowStart, nowTicks);
            }
            isUnrestricted &= isAlwaysEligible(endpoint, nowTicks);
            if (slowStart.isBudgetExhausted(endpoint, throughput, nowTicks)
                    || !retryPolicy.isSafeForRetry(request, endpoint)) {
                continue;
            }
            if (endpoint.health().isEjected(endpoint.inFlight(), nowTicks) || request.hasFailedAt(endpoint)) {
                avoided[avoidedCount++] = index;
            } else {
                usable[usableCount++] = index;
            }
        }
        pool.setAllEligible(isUnrestricted);
    }

    private boolean isAlwaysEligible(Endpoint endpoint, long nowTicks) {
        return endpoint.isWeightStable()
                && !endpoint.health().isSuspect()
                && !endpoint.health().isOverloaded(nowTicks)
                && slowStart.isUnlimited(endpoint.startedAtTicks(), nowTicks);
    }
}

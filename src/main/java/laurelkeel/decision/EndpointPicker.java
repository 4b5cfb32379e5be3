package laurelkeel.decision;

import org.jspecify.annotations.Nullable;

/**
 * Picks the endpoint of a build for an attempt, by weighted round robin over the endpoints that may receive it.
 *
 * <p>Endpoints that are ejected or that failed this request before are a fallback, picked only if there are no others.
 * Endpoints that could be overloaded while they warm up are never picked, nor are those at which a request could take
 * effect twice.
 */
final class EndpointPicker {
    private final EndpointRegistry endpoints;
    private final RetryPolicy retryPolicy;
    private final SlowStart slowStart;
    private final OwnThroughput throughput;

    // results of the last classification, as indices in the pool
    private int[] preferred = new int[0];
    private int preferredCount;
    private int[] fallback = new int[0];
    private int fallbackCount;

    EndpointPicker(EndpointRegistry endpoints, RetryPolicy retryPolicy, SlowStart slowStart, OwnThroughput throughput) {
        this.endpoints = endpoints;
        this.retryPolicy = retryPolicy;
        this.slowStart = slowStart;
        this.throughput = throughput;
    }

    /** Picks an endpoint of a build, or returns null if none may receive the request. */
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
        if (2 * preferredCount < subset.length && subset.length < pool.size()) {
            // the few preferred endpoints of the subset would receive the whole traffic of the subset
            classify(pool, pool.all(), request, nowTicks);
        }
        return preferredCount > 0 ? pool.next(preferred, preferredCount) : pool.next(fallback, fallbackCount);
    }

    private void classify(BuildEndpoints pool, int[] candidates, ActiveRequest request, long nowTicks) {
        if (preferred.length < pool.size()) {
            preferred = new int[pool.size()];
            fallback = new int[pool.size()];
        }
        preferredCount = 0;
        fallbackCount = 0;
        boolean areAllEligible = true;
        for (int index : candidates) {
            Endpoint endpoint = pool.endpoint(index);
            if (!endpoint.isWeightStable()) {
                endpoint.updateWeight(slowStart, nowTicks);
            }
            areAllEligible &= isAlwaysEligible(endpoint, nowTicks);
            if (slowStart.isBudgetExhausted(endpoint, throughput, nowTicks)
                    || !retryPolicy.isSafeForRetry(request, endpoint)) {
                continue;
            }
            if (endpoint.health().isEjected(endpoint.inFlight(), nowTicks) || request.wasTriedAt(endpoint)) {
                fallback[fallbackCount++] = index;
            } else {
                preferred[preferredCount++] = index;
            }
        }
        pool.setAllEligible(areAllEligible);
    }

    private boolean isAlwaysEligible(Endpoint endpoint, long nowTicks) {
        return endpoint.isWeightStable()
                && !endpoint.health().isSuspect()
                && !endpoint.health().isOverloaded(nowTicks)
                && slowStart.isUnlimited(endpoint.startedAtTicks(), nowTicks);
    }
}

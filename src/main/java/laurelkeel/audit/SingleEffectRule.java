package laurelkeel.audit;

import java.util.List;
import laurelkeel.records.RecordTerms.DeduplicationScope;
import laurelkeel.records.RecordTerms.Idempotency;
import laurelkeel.records.RecordTerms.Outcome;
import laurelkeel.records.TrafficRecord.AttemptArrived;
import laurelkeel.records.TrafficRecord.ResponseReceived;
import laurelkeel.records.TrafficRecord.RoutePolicy;
import laurelkeel.records.TrafficRecord.ServerStarted;

/** Rule 2: an attempt that may have run is retried, or reported as safe to retry, only if its route allows that. */
final class SingleEffectRule extends RuleChecker {

    SingleEffectRule() {
        super(2, "no effect twice");
    }

    @Override
    void check(RecordedTraffic traffic) {
        for (RequestTrace request : traffic.requests()) {
            if (request.routePolicy.idempotency() != Idempotency.IDEMPOTENT) {
                checkRetries(traffic, request);
                checkRejection(request);
            }
        }
    }

    private void checkRetries(RecordedTraffic traffic, RequestTrace request) {
        List<AttemptArrived> attempts = request.attempts;
        for (int i = 1; i < attempts.size(); i++) {
            AttemptArrived retry = attempts.get(i);
            AttemptArrived first = request.firstAttemptThatMayHaveRun(attempts.subList(0, i), retry.timeTicks());
            if (first == null) {
                countChecked();
            } else if (request.routePolicy.idempotency() == Idempotency.NOT_IDEMPOTENT) {
                addViolation(
                        retry.timeTicks(),
                        request.sent.requestId(),
                        "request that is not idempotent retried at " + retry.endpointId() + " although attempt "
                                + first.attemptNumber() + " at " + first.endpointId() + " may have run");
            } else {
                checkDeduplicatedRetry(traffic, request, first, retry);
            }
        }
        if (attempts.size() < 2) {
            countChecked();
        }
    }

    private void checkDeduplicatedRetry(
            RecordedTraffic traffic, RequestTrace request, AttemptArrived first, AttemptArrived retry) {
        String requestId = request.sent.requestId();
        RoutePolicy policy = request.routePolicy;
        long delayTicks = retry.timeTicks() - first.timeTicks();
        long windowTicks = policy.deduplicationWindowTicks();
        countChecked(
                delayTicks / (double) Math.max(1, windowTicks),
                requestId + " repeated " + formatMillis(delayTicks) + " after a try that may have run, of "
                        + formatMillis(windowTicks));
        if (delayTicks > windowTicks + CLOCK_TOLERANCE_TICKS) {
            addViolation(
                    retry.timeTicks(),
                    requestId,
                    "deduplicated request retried " + formatMillis(delayTicks)
                            + " after its first attempt, past its deduplication window of "
                            + formatMillis(windowTicks));
        }
        ServerStarted firstServer = traffic.server(first).started;
        ServerStarted retryServer = traffic.server(retry).started;
        if (!shareCache(policy.deduplicationScope(), firstServer, retryServer)) {
            addViolation(
                    retry.timeTicks(),
                    requestId,
                    "deduplicated request sent to " + retry.endpointId() + ", outside the deduplication scope of "
                            + first.endpointId() + ", which may have run it");
        }
    }

    private static boolean shareCache(DeduplicationScope scope, ServerStarted first, ServerStarted second) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> first.zone() == second.zone();
            case CELL -> first.cell() == second.cell();
        };
    }

    /** Checks a rejection, which tells the client that a retry is safe. */
    private void checkRejection(RequestTrace request) {
        ResponseReceived response = request.firstResponse();
        if (response == null || response.outcome() != Outcome.REJECTED) {
            return;
        }
        countChecked();
        AttemptArrived executed = request.firstAttemptThatMayHaveRun(request.attempts, response.timeTicks());
        if (executed != null && !isAnyRetryDeduplicated(request.routePolicy)) {
            addViolation(
                    response.timeTicks(),
                    request.sent.requestId(),
                    "rejected, which states that a retry is safe, although attempt " + executed.attemptNumber() + " at "
                            + executed.endpointId() + " may have run");
        }
    }

    private static boolean isAnyRetryDeduplicated(RoutePolicy policy) {
        return policy.idempotency() == Idempotency.DEDUPLICATED
                && policy.deduplicationScope() == DeduplicationScope.ALL;
    }
}

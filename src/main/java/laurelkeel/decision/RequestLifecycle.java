package laurelkeel.decision;

import java.util.List;
import laurelkeel.api.Action;
import laurelkeel.api.Event.AttemptEnded;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Event.RequestReceived;
import laurelkeel.api.Settings;
import laurelkeel.api.WritePermission;
import laurelkeel.api.WritePermission.Refusal;
import org.jspecify.annotations.Nullable;

/**
 * Handles each request from its arrival to its single final answer.
 *
 * <p>Each decision first plans for all pending requests and then executes the plans. Each plan takes the attempts
 * planned before it into account, and the load recorded with a sent attempt includes all attempts of the decision.
 */
final class RequestLifecycle {
    /** For requests with a key, whose hash is used instead. */
    private static final double NO_KEYLESS_FRACTION = -1;

    private final Settings settings;
    private final SeededRandom random;
    private final BuildRouter router;
    private final LatencyModel latency;
    private final RetryPolicy retryPolicy;
    private final OutcomeRecorder recorder;
    private final AdmissionController admission;
    private final RetryBudget retryBudget = new RetryBudget();
    private final AttemptTimeoutPolicy timeoutPolicy;
    private final ClientRetryDetector clientRetries = new ClientRetryDetector();
    private final RequestTable requests = new RequestTable();
    private final DeadlineQueue<ActiveRequest> scheduledChecks = new DeadlineQueue<>();

    RequestLifecycle(
            Settings settings,
            SeededRandom random,
            BuildRouter router,
            LatencyModel latency,
            RetryPolicy retryPolicy,
            AdmissionController admission,
            OutcomeRecorder recorder) {
        this.settings = settings;
        this.random = random;
        this.router = router;
        this.latency = latency;
        this.retryPolicy = retryPolicy;
        this.admission = admission;
        this.recorder = recorder;
        timeoutPolicy = new AttemptTimeoutPolicy(latency, retryPolicy, retryBudget);
    }

    /**
     * Registers a new request and schedules its two checks: when its final answer is due, and when an attempt is about
     * to miss the latency objective.
     */
    void requestReceived(RequestReceived received, long nowTicks) {
        router.requestReceived(received.route(), nowTicks);
        retryBudget.requestReceived();
        ActiveRequest request = new ActiveRequest(
                received,
                settings.routes().get(received.route()),
                received.partitionKey() == null ? random.nextDouble() : NO_KEYLESS_FRACTION,
                clientRetries.isRetry(received),
                nowTicks);
        recorder.requestReceived(request, nowTicks);
        requests.add(request);
        scheduleAt(request, request.answerDueAtTicks(), nowTicks);
        scheduleAt(request, request.objectiveCheckAtTicks(), nowTicks);
        requests.markPending(request);
    }

    /** Records the end of an attempt; the end of an attempt that is not in flight is ignored. */
    void attemptEnded(AttemptEnded event, long nowTicks) {
        ActiveRequest request = requests.find(event.requestId());
        Attempt attempt = request == null ? null : request.attemptEnded(event);
        if (request == null || attempt == null) {
            return;
        }
        Endpoint endpoint = attempt.endpoint();
        endpoint.attemptEnded();
        latency.route(request.routeIndex()).attemptEnded();
        Double concurrentRequests = event.loadReport().concurrentRequests();
        if (concurrentRequests != null) {
            endpoint.loadReported(concurrentRequests);
        }
        recorder.attemptEnded(request, attempt, event, nowTicks);
        router.attemptEnded(request, endpoint, event.outcome());
        if (event.outcome() != AttemptOutcome.COMPLETED) {
            request.attemptEndedWithoutCompletion(endpoint, router.isCanary(endpoint));
        }
        requests.markPending(request);
    }

    /** Records that a request needs no further answer because its client has disconnected. */
    void clientDisconnected(String requestId) {
        ActiveRequest request = requests.find(requestId);
        if (request != null) {
            request.finish();
            requests.markPending(request);
        }
    }

    /** Asks again, when an attempt is about to be written, what was asked when its endpoint was chosen. */
    WritePermission mayWrite(String requestId, int attemptNumber, long nowTicks) {
        ActiveRequest request = requests.find(requestId);
        Attempt attempt = request == null ? null : request.attemptInFlight();
        if (request == null || attempt == null || attempt.number() != attemptNumber || request.isFinished()) {
            return WritePermission.refused(Refusal.ATTEMPT_ENDED);
        }
        Refusal refusal = router.refusalToWrite(request, attempt.endpoint(), nowTicks);
        if (refusal != null) {
            return WritePermission.refused(refusal);
        }
        long latestTicks = retryPolicy.latestWriteTicks(request);
        return nowTicks <= latestTicks
                ? WritePermission.until(latestTicks)
                : WritePermission.refused(Refusal.REPEAT_NOT_RECOGNIZED);
    }

    private void scheduleAt(ActiveRequest request, long atTicks, long nowTicks) {
        scheduledChecks.add(request, Math.max(atTicks, nowTicks + 1));
    }

    /** Returns the time of the next scheduled check of a request, or {@link DeadlineQueue#NEVER} if there is none. */
    long nextCheckAtTicks() {
        return scheduledChecks.nextDueAtTicks();
    }

    /** Marks the requests whose scheduled check is due as pending. */
    void markDueRequestsPending(long nowTicks) {
        while (scheduledChecks.nextDueAtTicks() <= nowTicks) {
            for (ActiveRequest request : scheduledChecks.removeNext()) {
                if (!request.isDone()) {
                    requests.markPending(request);
                }
            }
        }
    }

    /** Removes expired records of rejected and failed requests. */
    void removeExpired(long nowTicks) {
        clientRetries.removeExpired(nowTicks);
    }

    /** Decides for each pending request whether to send an attempt, give a final answer or continue to wait. */
    void plan(long nowTicks) {
        for (ActiveRequest request : requests.pending()) {
            plan(request, nowTicks);
        }
    }

    private void plan(ActiveRequest request, long nowTicks) {
        if (request.isFinished() || request.isFinalAnswerDue()) {
            return;
        }
        Attempt attempt = request.attemptInFlight();
        if (nowTicks >= request.answerDueAtTicks()) {
            request.requireFinalAnswer();
        } else if (attempt == null) {
            planAttempt(request, nowTicks);
        } else if (nowTicks >= request.objectiveCheckAtTicks() && admission.shouldAbandon(request, attempt, nowTicks)) {
            request.requireFinalAnswer();
        }
    }

    private void planAttempt(ActiveRequest request, long nowTicks) {
        boolean isRetry = request.attemptCount() > 0;
        Endpoint endpoint = chooseEndpoint(request, isRetry, nowTicks);
        if (endpoint == null) {
            request.requireFinalAnswer();
            return;
        }
        if (isRetry) {
            retryBudget.spend();
        }
        request.planAttempt(endpoint, timeoutPolicy.timeoutTicks(request, endpoint.inFlight(), nowTicks));
        endpoint.attemptStarted();
        endpoint.warmUpBudget().attemptPlanned(nowTicks);
        latency.route(request.routeIndex()).attemptStarted();
        recorder.attemptPlanned(endpoint, nowTicks);
        router.attemptPlanned(request, endpoint, nowTicks);
    }

    private @Nullable Endpoint chooseEndpoint(ActiveRequest request, boolean isRetry, long nowTicks) {
        // retries after an OVERLOADED outcome use the retry budget as well; otherwise each request would try every
        // endpoint when all endpoints are at capacity
        if (!retryPolicy.mayAttempt(request, nowTicks) || (isRetry && !retryBudget.allows(1))) {
            return null;
        }
        Endpoint endpoint = router.choose(request, nowTicks);
        return endpoint != null && admission.admits(request, endpoint, nowTicks) ? endpoint : null;
    }

    /** Executes the plans of all pending requests by adding actions to a list. */
    void execute(List<Action> actions, long nowTicks) {
        for (ActiveRequest request : requests.pending()) {
            execute(request, actions, nowTicks);
        }
        requests.clearPending();
    }

    private void execute(ActiveRequest request, List<Action> actions, long nowTicks) {
        if (request.isFinalAnswerDue() && !request.isFinished()) {
            actions.add(rejectOrFail(request, nowTicks));
        }
        Attempt attempt = request.attemptInFlight();
        if (attempt != null
                && request.needsCancellation()
                && settings.capabilities().cancellation()) {
            request.cancellationRequested();
            actions.add(new Action.CancelAttempt(request.id(), attempt.number()));
        }
        Endpoint endpoint = request.plannedEndpoint();
        if (endpoint != null && !request.isFinished()) {
            actions.add(send(request, endpoint, nowTicks));
        }
        request.clearPlan();
        if (request.isDone()) {
            requests.remove(request);
        }
    }

    private Action rejectOrFail(ActiveRequest request, long nowTicks) {
        boolean mayReject = retryPolicy.mayReject(request, nowTicks);
        request.finish();
        String key = request.partitionKey();
        if (key != null) {
            clientRetries.requestRejectedOrFailed(key, nowTicks);
        }
        return mayReject
                ? new Action.RejectRequest(request.id(), settings.capabilities().maxRetryAfterTicks())
                : new Action.FailRequest(request.id());
    }

    private Action send(ActiveRequest request, Endpoint endpoint, long nowTicks) {
        request.attemptSent(new Attempt(
                request.attemptCount(),
                endpoint,
                nowTicks,
                endpoint.isSettled(nowTicks),
                endpoint.inFlight(),
                RouteLatency.concurrencyLevel(endpoint.knownRequests())));
        router.attemptSent(request, endpoint);
        return new Action.SendAttempt(request.id(), endpoint.id(), request.plannedTimeoutTicks());
    }
}

package laurelkeel.decision;

import java.util.List;
import laurelkeel.api.Action;
import laurelkeel.api.Event.AttemptEnded;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Event.RequestReceived;
import laurelkeel.api.Settings;
import org.jspecify.annotations.Nullable;

/**
 * Takes each request from its arrival to its one final answer.
 *
 * <p>At each decision it first plans for every request concerned, and then carries the plans out, so that requests of one
 * moment see each other's load.
 */
final class RequestLifecycle {
    private static final double NO_FRACTION = -1;

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
    private final DeadlineQueue<ActiveRequest> deadlines = new DeadlineQueue<>();

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

    // ---- what has happened

    /** Takes on a request. */
    void received(RequestReceived received, long nowTicks) {
        router.requestReceived(received.route(), nowTicks);
        retryBudget.requestReceived();
        ActiveRequest request = new ActiveRequest(
                received,
                settings.routes().get(received.route()),
                received.partitionKey() == null ? random.nextDouble() : NO_FRACTION,
                clientRetries.isRetry(received),
                nowTicks);
        recorder.requestReceived(request, nowTicks);
        requests.add(request);
        wakeAt(request, request.answerDueAtTicks(), nowTicks);
        wakeAt(request, request.objectiveCheckAtTicks(), nowTicks);
        requests.markPending(request);
    }

    /** Takes note of the end of an attempt; one that is not in flight is ignored. */
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
            request.attemptFailed(endpoint, router.isCanary(endpoint));
        }
        requests.markPending(request);
    }

    /** Takes note that nothing more is owed for a request. */
    void clientDisconnected(String requestId) {
        ActiveRequest request = requests.find(requestId);
        if (request != null) {
            request.finish();
            requests.markPending(request);
        }
    }

    // ---- what is due

    private void wakeAt(ActiveRequest request, long atTicks, long nowTicks) {
        deadlines.add(request, Math.max(atTicks, nowTicks + 1));
    }

    /** Returns when something is due for a request, or {@link DeadlineQueue#NEVER}. */
    long nextDeadlineTicks() {
        return deadlines.nextAtTicks();
    }

    /** Looks again at the requests for which something is due. */
    void wakeDue(long nowTicks) {
        while (deadlines.nextAtTicks() <= nowTicks) {
            for (ActiveRequest request : deadlines.removeNext()) {
                if (!request.isDone()) {
                    requests.markPending(request);
                }
            }
        }
    }

    /** Forgets what is too old to matter. */
    void forgetOld(long nowTicks) {
        clientRetries.forgetOld(nowTicks);
    }

    // ---- what is planned

    /** Plans for each request concerned: an attempt, a final answer, or to go on waiting. */
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
        } else if (nowTicks >= request.objectiveCheckAtTicks()
                && admission.isToBeAbandoned(request, attempt, nowTicks)) {
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
        endpoint.warmUpBudget().attemptSent(nowTicks);
        latency.route(request.routeIndex()).attemptStarted();
        recorder.attemptPlanned(endpoint, nowTicks);
        router.attemptPlanned(request, endpoint, nowTicks);
    }

    private @Nullable Endpoint chooseEndpoint(ActiveRequest request, boolean isRetry, long nowTicks) {
        // an attempt that an endpoint rejected counts as well: a full fleet must not be asked by each request
        // everywhere
        if (!retryPolicy.mayAttempt(request, nowTicks) || (isRetry && !retryBudget.allows(1))) {
            return null;
        }
        Endpoint endpoint = router.choose(request, nowTicks);
        return endpoint != null && admission.admits(request, endpoint, nowTicks) ? endpoint : null;
    }

    // ---- what is done

    /** Carries out all plans by actions. */
    void carryOut(List<Action> actions, long nowTicks) {
        for (ActiveRequest request : requests.pending()) {
            carryOut(request, actions, nowTicks);
        }
        requests.clearPending();
    }

    private void carryOut(ActiveRequest request, List<Action> actions, long nowTicks) {
        if (request.isFinalAnswerDue() && !request.isFinished()) {
            actions.add(answer(request, nowTicks));
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

    private Action answer(ActiveRequest request, long nowTicks) {
        boolean mayReject = retryPolicy.mayReject(request, nowTicks);
        request.finish();
        String key = request.partitionKey();
        if (key != null) {
            clientRetries.requestUnserved(key, nowTicks);
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

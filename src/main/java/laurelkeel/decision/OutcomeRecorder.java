package laurelkeel.decision;

import java.util.OptionalDouble;
import laurelkeel.api.Event.AttemptEnded;
import laurelkeel.api.Event.AttemptOutcome;

/** Records the end of each attempt in its endpoint's health and latency, its route's latency and its build's outcomes. */
final class OutcomeRecorder {
    private final RolloutState rollout;
    private final SlowStart slowStart;
    private final LatencyModel latencies;
    private final OwnThroughput throughput;
    private final OutcomeHistory history;

    OutcomeRecorder(
            RolloutState rollout,
            SlowStart slowStart,
            LatencyModel latencies,
            OwnThroughput throughput,
            OutcomeHistory history) {
        this.rollout = rollout;
        this.slowStart = slowStart;
        this.latencies = latencies;
        this.throughput = throughput;
        this.history = history;
    }

    /** Counts a request as load, unless it is a retry by the client. */
    void requestReceived(ActiveRequest request, long nowTicks) {
        OutcomeBucket bucket = history.bucketAt(nowTicks);
        if (!request.isClientRetry()) {
            bucket.requestReceived();
        }
    }

    /** Counts an attempt that is about to be sent. */
    void attemptPlanned(Endpoint endpoint, long nowTicks) {
        history.bucketAt(nowTicks).attemptSent(endpoint.build() == rollout.evaluatedBuild(nowTicks));
    }

    /** Records the end of an attempt. */
    void attemptEnded(ActiveRequest request, Attempt attempt, AttemptEnded event, long nowTicks) {
        Endpoint endpoint = attempt.endpoint();
        boolean isAnswerDue = nowTicks >= request.answerDueAtTicks();
        if (endpoint.health().record(event.outcome(), isAnswerDue, nowTicks)) {
            endpoint.eligibilityChanged();
        }
        if (event.outcome() == AttemptOutcome.COMPLETED) {
            throughput.attemptCompleted();
            recordLatency(attempt, request.routeIndex(), event.durationTicks(), nowTicks);
            recordWait(attempt, latencies.route(request.routeIndex()), event.durationTicks(), nowTicks);
        }
        recordBuildOutcome(request, attempt, event.outcome());
    }

    private void recordLatency(Attempt attempt, int route, long durationTicks, long nowTicks) {
        Endpoint endpoint = attempt.endpoint();
        RouteLatency latency = latencies.route(route);
        int level = attempt.concurrencyLevel();
        latency.recordRecent(durationTicks);
        OptionalDouble ratioToExpected = latency.ratioToExpected(durationTicks, level);
        if (ratioToExpected.isPresent()) {
            double ratio = ratioToExpected.getAsDouble();
            endpoint.latency().recordRatio(ratio);
            endpoint.updateWeight(slowStart, nowTicks);
            latency.recordDeviation(ratio);
            recordRatio(attempt, route, ratio, nowTicks);
        }
        // while a build is evaluated, only unknown levels are learned, and only from other builds:
        // otherwise a slowdown of all builds would become the expected latency
        int evaluatedBuild = rollout.evaluatedBuild(nowTicks);
        boolean isOtherBuildAtUnknownLevel = endpoint.build() != evaluatedBuild && !latency.isKnown(level);
        if (evaluatedBuild == RolloutState.NO_BUILD || isOtherBuildAtUnknownLevel) {
            latency.updateExpected(durationTicks, level);
        }
    }

    private void recordRatio(Attempt attempt, int route, double ratio, long nowTicks) {
        Endpoint endpoint = attempt.endpoint();
        // an endpoint that is warming up is slow for reasons other than its build
        if (slowStart.isWarm(endpoint.startedAtTicks(), attempt.sentAtTicks())) {
            endpoint.latency().countWarmAnswer();
            history.bucketAt(nowTicks).outcomes(endpoint.build(), route).addLatencyRatio(ratio);
        }
        if (attempt.isEndpointSettled()) {
            history.bucketAt(nowTicks).addLatencyRatio(endpoint.id(), ratio);
        }
    }

    private void recordWait(Attempt attempt, RouteLatency latency, long durationTicks, long nowTicks) {
        latency.updateUnloaded(durationTicks);
        double waitTicks = durationTicks - latency.unloadedTicks();
        attempt.endpoint().latency().recordWait(waitTicks, attempt.inFlightAtEndpoint(), nowTicks);
        latencies.waits().recordWait(waitTicks, throughput.answersPerSecond());
    }

    private void recordBuildOutcome(ActiveRequest request, Attempt attempt, AttemptOutcome outcome) {
        BuildOutcomes earlierFailure = request.failureCountedIn();
        if (outcome == AttemptOutcome.COMPLETED && earlierFailure != null) {
            earlierFailure.addRecoveredFailure();
        }
        Endpoint endpoint = attempt.endpoint();
        boolean countsForBuild =
                attempt.isEndpointSettled() && !endpoint.health().isSuspect() && !request.isClientRetry();
        if (!countsForBuild || !isCounted(outcome)) {
            return;
        }
        // by send time: errors return early, so a build whose share has just risen would seem to fail more often
        BuildOutcomes outcomes =
                history.bucketAt(attempt.sentAtTicks()).outcomes(endpoint.build(), request.routeIndex());
        boolean isFailure = outcome == AttemptOutcome.FAILED;
        outcomes.addAttempts(1, isFailure ? 1 : 0);
        request.setFailureCountedIn(isFailure ? outcomes : null);
    }

    private static boolean isCounted(AttemptOutcome outcome) {
        return outcome == AttemptOutcome.COMPLETED
                || outcome == AttemptOutcome.FAILED
                || outcome == AttemptOutcome.TIMED_OUT;
    }
}

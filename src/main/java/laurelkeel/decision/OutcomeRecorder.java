package laurelkeel.decision;

import java.util.OptionalDouble;
import laurelkeel.api.Event.AttemptEnded;
import laurelkeel.api.Event.AttemptOutcome;

/** Learns from the end of each attempt: the health and latency of its endpoint, its route's latency, its build's outcomes. */
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

    /** Counts a request as load, unless its client has sent it before. */
    void requestReceived(ActiveRequest request, long nowTicks) {
        OutcomeSecond second = history.secondOf(nowTicks);
        if (!request.isClientRetry()) {
            second.requestReceived();
        }
    }

    /** Counts an attempt that is going to be sent. */
    void attemptPlanned(Endpoint endpoint, long nowTicks) {
        history.secondOf(nowTicks).attemptSent(endpoint.build() == rollout.judgedBuild(nowTicks));
    }

    /** Takes note of an attempt that has ended. */
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
        OptionalDouble ratioToUsual = latency.ratioToExpected(durationTicks, level);
        if (ratioToUsual.isPresent()) {
            double ratio = ratioToUsual.getAsDouble();
            endpoint.latency().recordRatio(ratio);
            endpoint.updateWeight(slowStart, nowTicks);
            latency.recordDeviation(ratio);
            recordRatio(attempt, route, ratio, nowTicks);
        }
        // while a build is judged the usual latency stands still: harm that all builds share would become usual
        int judgedBuild = rollout.judgedBuild(nowTicks);
        boolean isUnknownElsewhere = endpoint.build() != judgedBuild && !latency.isKnown(level);
        if (judgedBuild == RolloutState.NO_BUILD || isUnknownElsewhere) {
            latency.updateExpected(durationTicks, level);
        }
    }

    private void recordRatio(Attempt attempt, int route, double ratio, long nowTicks) {
        Endpoint endpoint = attempt.endpoint();
        // an endpoint that warms up is slow through no fault of its build
        if (slowStart.isWarm(endpoint.startedAtTicks(), attempt.sentAtTicks())) {
            endpoint.latency().countWarmAnswer();
            history.secondOf(nowTicks).outcomes(endpoint.build(), route).addLatencyRatio(ratio);
        }
        if (attempt.isEndpointSettled()) {
            history.secondOf(nowTicks).addLatencyRatio(endpoint.id(), ratio);
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
        // by when it was sent: errors come quickly, so a build whose share has just risen has them first
        BuildOutcomes outcomes =
                history.secondOf(attempt.sentAtTicks()).outcomes(endpoint.build(), request.routeIndex());
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

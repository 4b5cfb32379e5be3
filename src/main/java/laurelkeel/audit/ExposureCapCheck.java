package laurelkeel.audit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import laurelkeel.audit.RolloutTimeline.KnownRollout;
import laurelkeel.records.RecordTerms.Idempotency;
import laurelkeel.records.TrafficRecord.AttemptArrived;
import laurelkeel.records.TrafficRecord.AuditParameters;

/**
 * Checks one node's attempts at canaries against the exposure cap and the guarded stages.
 *
 * <p>The times at which the node accepted a request and sent an attempt are not visible on the wire, and if the host
 * stalls they may differ much from the observed times. A violation is reported only if it is one for all possible such
 * times: the attempts that were certainly sent within a window are compared with all requests that may have been
 * accepted in it. Not thread-safe.
 */
final class ExposureCapCheck {
    private static final String ALL_ROUTES = "";

    private record Scope(int build, String route) {}

    private final RuleChecker rule;
    private final RecordedTraffic traffic;
    private final AuditParameters parameters;
    private final NodeTrace node;
    private final RolloutTimeline timeline;
    private final List<RequestTrace> accepted;
    private final Map<String, AcceptanceTimes> acceptanceTimesByRoute = new HashMap<>();
    /** The times at which the requests of the attempts in the window were sent, earliest first. */
    private final Map<Scope, PriorityQueue<Long>> windows = new HashMap<>();

    ExposureCapCheck(
            RuleChecker rule,
            RecordedTraffic traffic,
            NodeTrace node,
            RolloutTimeline timeline,
            List<RequestTrace> accepted) {
        this.rule = rule;
        this.traffic = traffic;
        this.parameters = traffic.parameters();
        this.node = node;
        this.timeline = timeline;
        this.accepted = accepted;
    }

    void run() {
        List<AttemptArrived> attempts = new ArrayList<>(node.attempts);
        attempts.sort(Comparator.comparingLong(AttemptArrived::timeTicks));
        for (AttemptArrived attempt : attempts) {
            RequestTrace request = traffic.request(attempt);
            KnownRollout rollout = timeline.at(attempt.build(), attempt.timeTicks());
            if (request != null && rollout.isBoundByCap()) {
                checkCap(attempt, request);
                checkGuardedStage(attempt, request, rollout);
            }
        }
    }

    private void checkCap(AttemptArrived attempt, RequestTrace request) {
        String route = parameters.exposurePerRoute() ? request.sent.route() : ALL_ROUTES;
        // a reduced cap applies after the grace period, and attempts are counted from zero from then on
        long graceEndTicks = attempt.timeTicks() - parameters.drainGraceTicks() - RuleChecker.CLOCK_TOLERANCE_TICKS;
        double cap = timeline.maxCap(attempt.build(), graceEndTicks, attempt.timeTicks());
        int attemptCount = attemptsInWindow(attempt, request, route, graceEndTicks);
        int requestCount = acceptanceTimesByRoute
                .computeIfAbsent(route, this::acceptanceTimes)
                .countBetween(request.sent.timeTicks() - parameters.exposureWindowTicks(), attempt.timeTicks());
        double allowed = parameters.exposureAllowance() + cap * requestCount;
        String windowText = RuleChecker.formatMillis(parameters.exposureWindowTicks());
        String allowedText = String.format(Locale.ROOT, "%.1f", allowed);
        rule.countChecked(
                attemptCount / Math.max(1, allowed),
                attemptCount + " tries of front " + node.nodeIndex + " at build " + attempt.build() + " within "
                        + windowText + ", of " + allowedText);
        if (cap <= 0 || attemptCount > allowed) {
            String limitText = cap <= 0
                    ? "the cap is 0"
                    : allowedText + " are allowed: cap " + cap + " of " + requestCount + " requests";
            rule.addViolation(
                    attempt.timeTicks(),
                    attempt.requestId(),
                    "front " + node.nodeIndex + " had " + attemptCount + " attempts at build " + attempt.build()
                            + " within " + windowText + "; " + limitText);
        }
    }

    private int attemptsInWindow(AttemptArrived attempt, RequestTrace request, String route, long graceEndTicks) {
        long windowStartTicks = attempt.timeTicks() - parameters.exposureWindowTicks();
        long reductionTicks = timeline.lastCapReductionTicks(attempt.build(), graceEndTicks);
        if (reductionTicks != Long.MIN_VALUE) {
            windowStartTicks = Math.max(windowStartTicks, reductionTicks + parameters.drainGraceTicks());
        }
        PriorityQueue<Long> window =
                windows.computeIfAbsent(new Scope(attempt.build(), route), scope -> new PriorityQueue<>());
        window.add(request.sent.timeTicks());
        while (!window.isEmpty() && window.element() < windowStartTicks) {
            window.remove();
        }
        return window.size();
    }

    private AcceptanceTimes acceptanceTimes(String route) {
        return AcceptanceTimes.of(accepted.stream()
                .filter(request ->
                        route.equals(ALL_ROUTES) || request.sent.route().equals(route))
                .toList());
    }

    private void checkGuardedStage(AttemptArrived attempt, RequestTrace request, KnownRollout rollout) {
        // close to a change of stage, either stage is accepted
        KnownRollout next = timeline.at(attempt.build(), attempt.timeTicks() + RuleChecker.CLOCK_TOLERANCE_TICKS);
        int stage = Math.max(rollout.stage(), next.stage());
        Idempotency idempotency = request.routePolicy.idempotency();
        if (stage < parameters.guardedStages() && idempotency != Idempotency.IDEMPOTENT) {
            rule.addViolation(
                    attempt.timeTicks(),
                    attempt.requestId(),
                    "a " + idempotency.storedName() + " request went to build " + attempt.build() + " in guarded stage "
                            + stage);
        }
    }
}

package laurelkeel.audit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import laurelkeel.records.RecordTerms.Outcome;
import laurelkeel.records.TrafficRecord.AttemptAnswered;
import laurelkeel.records.TrafficRecord.AttemptArrived;
import laurelkeel.records.TrafficRecord.ResponseReceived;
import org.jspecify.annotations.Nullable;

/** Checks that one node sends no partition key to an earlier build than one that has answered it. Not thread-safe. */
final class StickyKeyCheck {
    /** The lowest status that indicates a failure of the server. */
    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    /** An event that concerns a partition key. */
    private sealed interface KeyEvent {
        long timeTicks();
    }

    private record AttemptSent(long timeTicks, AttemptArrived attempt) implements KeyEvent {}

    private record KeyAnswered(long timeTicks, String partitionKey, int build) implements KeyEvent {}

    private final RuleChecker rule;
    private final RecordedTraffic traffic;
    private final NodeTrace node;
    private final RolloutTimeline timeline;
    private final Map<String, Integer> latestBuildByKey = new HashMap<>();

    StickyKeyCheck(RuleChecker rule, RecordedTraffic traffic, NodeTrace node, RolloutTimeline timeline) {
        this.rule = rule;
        this.traffic = traffic;
        this.node = node;
        this.timeline = timeline;
    }

    void run() {
        for (KeyEvent event : eventsByTime()) {
            if (event instanceof KeyAnswered answered) {
                latestBuildByKey.merge(answered.partitionKey(), answered.build(), Math::max);
            } else if (event instanceof AttemptSent sent) {
                checkAttempt(sent.attempt());
            }
        }
    }

    private List<KeyEvent> eventsByTime() {
        List<KeyEvent> events = new ArrayList<>();
        for (AttemptArrived attempt : node.attempts) {
            events.add(new AttemptSent(attempt.timeTicks(), attempt));
        }
        for (RequestTrace request : traffic.requests()) {
            ResponseReceived response = request.firstResponse();
            String partitionKey = request.sent.partitionKey();
            if (response != null && response.outcome() == Outcome.COMPLETED && partitionKey != null) {
                earliestAnsweringBuild(request, response.timeTicks())
                        .ifPresent(build -> events.add(new KeyAnswered(
                                response.timeTicks() + RuleChecker.CLOCK_TOLERANCE_TICKS, partitionKey, build)));
            }
        }
        events.sort(Comparator.comparingLong(KeyEvent::timeTicks));
        return events;
    }

    /**
     * Returns the earliest build that may have answered the client. The wire does not show which of several answers the
     * node forwarded; the earliest build is the weakest constraint.
     */
    private Optional<Integer> earliestAnsweringBuild(RequestTrace request, long byTicks) {
        return request.attempts.stream()
                .filter(attempt ->
                        wasSentByNode(attempt) && isSuccessBy(request.answers.get(attempt.attemptNumber()), byTicks))
                .map(AttemptArrived::build)
                .min(Comparator.naturalOrder());
    }

    private boolean wasSentByNode(AttemptArrived attempt) {
        return node.incarnation.equals(attempt.nodeIncarnation()) && node.nodeIndex == attempt.nodeIndex();
    }

    private static boolean isSuccessBy(@Nullable AttemptAnswered answer, long byTicks) {
        return answer != null && answer.status() < FIRST_SERVER_ERROR_STATUS && answer.timeTicks() <= byTicks;
    }

    private void checkAttempt(AttemptArrived attempt) {
        RequestTrace request = traffic.request(attempt);
        String partitionKey = request == null ? null : request.sent.partitionKey();
        Integer latestBuild = partitionKey == null ? null : latestBuildByKey.get(partitionKey);
        if (latestBuild == null) {
            return;
        }
        rule.countChecked();
        boolean mustStay = timeline.isInService(latestBuild, attempt.timeTicks(), RuleChecker.CLOCK_TOLERANCE_TICKS);
        if (attempt.build() < latestBuild && mustStay) {
            rule.addViolation(
                    attempt.timeTicks(),
                    attempt.requestId(),
                    "partition key " + partitionKey + ", answered by build " + latestBuild + ", went to build "
                            + attempt.build() + " although build " + latestBuild + " was not rolled back");
        }
    }
}

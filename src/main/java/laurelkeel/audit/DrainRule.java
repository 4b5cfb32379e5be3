package laurelkeel.audit;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import laurelkeel.records.RecordTerms.EndpointListKind;
import laurelkeel.records.RecordTerms.EndpointState;
import laurelkeel.records.TrafficRecord.AttemptArrived;
import laurelkeel.records.TrafficRecord.EndpointEntry;
import laurelkeel.records.TrafficRecord.EndpointListReceived;
import org.jspecify.annotations.Nullable;

/** Rule 3: a node that has known for the grace period that an endpoint drains or is removed sends it no attempts. */
final class DrainRule extends RuleChecker {

    DrainRule() {
        super(3, "drains kept");
    }

    @Override
    void check(RecordedTraffic traffic) {
        long graceTicks = traffic.parameters().drainGraceTicks();
        for (NodeTrace node : traffic.nodes()) {
            KnownEndpoints known = new KnownEndpoints();
            int nextList = 0;
            for (AttemptArrived attempt : node.attempts) {
                while (nextList < node.endpointLists.size()
                        && node.endpointLists.get(nextList).timeTicks() <= attempt.timeTicks()) {
                    known.update(node.endpointLists.get(nextList));
                    nextList++;
                }
                checkAttempt(node, attempt, known.unavailableSinceTicks(attempt.endpointId()), graceTicks);
            }
        }
    }

    private void checkAttempt(
            NodeTrace node, AttemptArrived attempt, @Nullable Long unavailableSinceTicks, long graceTicks) {
        if (unavailableSinceTicks == null) {
            countChecked();
            return;
        }
        long delayTicks = attempt.timeTicks() - unavailableSinceTicks;
        countChecked(
                delayTicks / (double) Math.max(1, graceTicks),
                attempt.requestId() + " reached " + attempt.endpointId() + " " + formatMillis(delayTicks)
                        + " after front " + node.nodeIndex + " was told that it drains or is gone");
        if (delayTicks > graceTicks + CLOCK_TOLERANCE_TICKS) {
            addViolation(
                    attempt.timeTicks(),
                    attempt.requestId(),
                    "front " + node.nodeIndex + " sent to " + attempt.endpointId() + " " + formatMillis(delayTicks)
                            + " after it learned that the endpoint drains or is removed");
        }
    }

    /** The state of endpoints as a node knows it from the endpoint lists that it has received. */
    private static final class KnownEndpoints {
        private final Map<String, Long> unavailableSinceTicks = new HashMap<>();
        private final Set<String> everListed = new HashSet<>();

        /** Returns since when the node has known that an endpoint drains or is removed; null if it does not know so. */
        @Nullable
        Long unavailableSinceTicks(String endpointId) {
            return unavailableSinceTicks.get(endpointId);
        }

        void update(EndpointListReceived list) {
            Set<String> listed = new HashSet<>();
            for (EndpointEntry endpoint : list.endpoints()) {
                listed.add(endpoint.endpointId());
                if (endpoint.state() == EndpointState.ACTIVE) {
                    unavailableSinceTicks.remove(endpoint.endpointId());
                } else {
                    unavailableSinceTicks.putIfAbsent(endpoint.endpointId(), list.timeTicks());
                }
            }
            if (list.kind() != EndpointListKind.DELTA) {
                for (String endpointId : everListed) {
                    if (!listed.contains(endpointId)) {
                        unavailableSinceTicks.putIfAbsent(endpointId, list.timeTicks());
                    }
                }
            }
            everListed.addAll(listed);
        }
    }
}

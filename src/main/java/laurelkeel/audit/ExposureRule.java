package laurelkeel.audit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import laurelkeel.records.TrafficRecord.ResponseReceived;

/**
 * Rule 5: attempts at a canary stay within the exposure cap that their node knew; in guarded stages a canary receives
 * idempotent requests only; partition keys never return to an earlier build.
 */
final class ExposureRule extends RuleChecker {

    ExposureRule() {
        super(5, "exposure within the cap");
    }

    @Override
    void check(RecordedTraffic traffic) {
        Map<Integer, List<RequestTrace>> acceptedByNode = acceptedByNode(traffic);
        double firstStageCap = traffic.parameters().stageExposureCaps().get(0);
        for (NodeTrace node : traffic.nodes()) {
            RolloutTimeline timeline = new RolloutTimeline(node.rolloutUpdates, firstStageCap);
            List<RequestTrace> accepted = acceptedByNode.getOrDefault(node.nodeIndex, List.of()).stream()
                    .filter(request -> request.sent.timeTicks() >= node.startTicks - CLOCK_TOLERANCE_TICKS)
                    .toList();
            new ExposureCapCheck(this, traffic, node, timeline, accepted).run();
            if (traffic.parameters().stickyKeys()) {
                new StickyKeyCheck(this, traffic, node, timeline).run();
            }
        }
    }

    private static Map<Integer, List<RequestTrace>> acceptedByNode(RecordedTraffic traffic) {
        Map<Integer, List<RequestTrace>> accepted = new HashMap<>();
        for (RequestTrace request : traffic.requests()) {
            ResponseReceived response = request.firstResponse();
            if (response == null || !response.notAccepted()) {
                accepted.computeIfAbsent(request.sent.nodeIndex(), index -> new ArrayList<>())
                        .add(request);
            }
        }
        return accepted;
    }
}

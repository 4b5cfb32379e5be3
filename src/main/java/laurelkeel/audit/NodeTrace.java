package laurelkeel.audit;

import java.util.ArrayList;
import java.util.List;
import laurelkeel.records.TrafficRecord.AttemptArrived;
import laurelkeel.records.TrafficRecord.EndpointListReceived;
import laurelkeel.records.TrafficRecord.RolloutUpdateReceived;

/**
 * One incarnation of a node with the updates it received and the attempts it sent, each list ordered by time. Filled by
 * {@link RecordedTraffic}.
 */
final class NodeTrace {
    final int nodeIndex;
    final String incarnation;
    final long startTicks;
    final List<EndpointListReceived> endpointLists = new ArrayList<>();
    final List<RolloutUpdateReceived> rolloutUpdates = new ArrayList<>();
    final List<AttemptArrived> attempts = new ArrayList<>();

    NodeTrace(int nodeIndex, String incarnation, long startTicks) {
        this.nodeIndex = nodeIndex;
        this.incarnation = incarnation;
        this.startTicks = startTicks;
    }
}

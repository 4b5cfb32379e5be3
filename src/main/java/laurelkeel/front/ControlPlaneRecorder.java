package laurelkeel.front;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.controlplane.EndpointDescription;
import laurelkeel.front.controlplane.RolloutMessage;
import laurelkeel.records.RecordClock;
import laurelkeel.records.RecordWriter;
import laurelkeel.records.TrafficRecord;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Records what a front node learned from its control plane and when, for the audit; without a file it records nothing.
 */
final class ControlPlaneRecorder {
    private static final Logger LOG = LoggerFactory.getLogger(ControlPlaneRecorder.class);

    private final @Nullable RecordWriter recorder;
    private final int nodeIndex;
    private final String incarnation;
    private final EventLoop loop;

    /**
     * Opens the record file and records that the node is up.
     *
     * @param file null for no records
     * @throws IOException where the file's path cannot be used
     */
    ControlPlaneRecorder(@Nullable Path file, int nodeIndex, String incarnation, EventLoop loop) throws IOException {
        this.nodeIndex = nodeIndex;
        this.incarnation = incarnation;
        this.loop = loop;
        recorder = file == null ? null : new RecordWriter(file, true);
        record(new TrafficRecord.NodeStarted(RecordClock.nowTicks(), nodeIndex, incarnation));
    }

    private void record(TrafficRecord trafficRecord) {
        if (recorder != null) {
            recorder.record(trafficRecord);
        }
    }

    /** Records an update of the endpoint list. */
    void recordEndpoints(EndpointListKind kind, List<EndpointDescription> endpoints, long arrivedAtTicks) {
        if (recorder == null) {
            return;
        }
        List<TrafficRecord.EndpointEntry> entries = new ArrayList<>(endpoints.size());
        for (EndpointDescription endpoint : endpoints) {
            entries.add(new TrafficRecord.EndpointEntry(
                    endpoint.endpointId(),
                    endpoint.incarnation(),
                    endpoint.build(),
                    WireTerms.recorded(endpoint.state())));
        }
        record(new TrafficRecord.EndpointListReceived(
                hostTime(arrivedAtTicks), nodeIndex, incarnation, WireTerms.recorded(kind), entries));
    }

    /** Records where the rollout of a build stands. */
    void recordRollout(RolloutMessage.Status rollout, long arrivedAtTicks) {
        record(new TrafficRecord.RolloutUpdateReceived(
                hostTime(arrivedAtTicks),
                nodeIndex,
                incarnation,
                rollout.build(),
                rollout.stage(),
                rollout.exposureCap(),
                WireTerms.recorded(rollout.phase())));
    }

    /** The clock of all records at a moment of the node's clock. */
    private long hostTime(long ticks) {
        return RecordClock.nowTicks() - (loop.clockTicks() - ticks);
    }

    /** How many records the disk did not take; on any thread. */
    long lostRecords() {
        return recorder == null ? 0 : recorder.lostRecords();
    }

    /** Records that the node is down and closes the file. */
    void close() {
        record(new TrafficRecord.NodeStopped(RecordClock.nowTicks(), nodeIndex, false));
        if (recorder == null) {
            return;
        }
        try {
            recorder.close();
        } catch (IOException e) {
            LOG.warn("the records could not be closed: {}", e.getMessage());
        }
    }
}

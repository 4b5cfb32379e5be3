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
 * Records the updates that a front node received from its control plane, with their times, for the audit. Without a
 * record file it records nothing.
 */
final class ControlPlaneRecorder {
    private static final Logger LOG = LoggerFactory.getLogger(ControlPlaneRecorder.class);

    private final @Nullable RecordWriter recorder;
    private final int nodeIndex;
    private final String incarnation;
    private final EventLoop loop;

    /**
     * Opens the record file and records that the node has started.
     *
     * @param file null to record nothing
     * @throws IOException if the file's path cannot be used
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

    /** Records the status of a build's rollout. */
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

    /** Converts a time of the node's clock to the host's clock, which all records use. */
    private long hostTime(long ticks) {
        return RecordClock.nowTicks() - (loop.clockTicks() - ticks);
    }

    /** Returns the number of records that could not be written to disk. Thread-safe. */
    long lostRecords() {
        return recorder == null ? 0 : recorder.lostRecords();
    }

    /** Records that the node has stopped and closes the file. */
    void close() {
        record(new TrafficRecord.NodeStopped(RecordClock.nowTicks(), nodeIndex, false));
        if (recorder == null) {
            return;
        }
        try {
            recorder.close();
        } catch (IOException e) {
            LOG.warn("the record file could not be closed: {}", e.getMessage());
        }
    }
}

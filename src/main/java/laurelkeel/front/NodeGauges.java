package laurelkeel.front;

import laurelkeel.admin.ProcessMetrics;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.ingress.ClientState;
import laurelkeel.front.ingress.CloseReason;
import laurelkeel.logging.RateLimitedAsyncAppender;
import laurelkeel.partition.PartitionedDecider;

/** Registers the gauges of a standalone front node; their values are read at each scrape. */
final class NodeGauges {
    private NodeGauges() {}

    static void register(
            FrontMetrics metrics,
            FrontStatus status,
            EventLoop loop,
            PartitionedDecider partitions,
            ControlPlaneRecorder recorder,
            AttributionReporter reporter) {
        metrics.gauge("laurelkeel_lanes", partitions::openPartitions);
        registerStatus(metrics, status);
        metrics.gauge("laurelkeel_loop_backlog", loop::queuedTasks);
        metrics.gauge("laurelkeel_loop_failures", loop::failedTasks);
        metrics.gauge("laurelkeel_records_lost", recorder::lostRecords);
        metrics.gauge("laurelkeel_report_cells_left_out", reporter::uncounted);
        metrics.gauge("laurelkeel_log_lines_left_out", RateLimitedAsyncAppender::suppressedLines);
        registerProcess(metrics);
    }

    private static void registerStatus(FrontMetrics metrics, FrontStatus status) {
        metrics.gauge("laurelkeel_reqs_held", status::activeRequests);
        metrics.gauge("laurelkeel_client_connections", status::clientConnections);
        metrics.gauge("laurelkeel_machine_connections", status::endpointConnections);
        metrics.gauge("laurelkeel_turned_away", status::rejectedBeforeDecision);
        metrics.gauge("laurelkeel_body_bytes_held", status::bodyBytes);
        metrics.gauge("laurelkeel_read_ahead_bytes_held", status::readAheadBytes);
        for (ClientState client : ClientState.values()) {
            metrics.gauge("laurelkeel_tries_asked", "client", client.label(), () -> status.attempts(client));
        }
        for (CloseReason reason : CloseReason.values()) {
            metrics.gauge(
                    "laurelkeel_client_connections_closed", "reason", reason.label(), () -> status.closedConnections()
                            .getOrDefault(reason, 0L));
        }
    }

    private static void registerProcess(FrontMetrics metrics) {
        metrics.gauge("laurelkeel_process_cpu_seconds", ProcessMetrics::cpuSeconds);
        metrics.gauge("laurelkeel_allocated_bytes", ProcessMetrics::allocatedBytes);
        metrics.gauge("laurelkeel_heap_bytes", ProcessMetrics::heapBytes);
    }
}

package laurelkeel.front.ingress;

import laurelkeel.eventloop.EventLoop;
import laurelkeel.wire.HttpProtocolException;

/**
 * Periodically closes connections that have exceeded a timeout: idle, first request, partial request or stalled write. The
 * timeouts are measured by the event loop's monotonic clock. MINA's own timeouts use the wall clock, and a step of the wall
 * clock would close connections with requests in progress.
 *
 * <p>Not thread-safe; called on the event loop's thread.
 */
final class ConnectionSweeper {
    private static final long SWEEP_INTERVAL_TICKS = 1_000;
    private static final int REQUEST_TIMEOUT = 408;

    private final IngressSettings settings;
    private final ClientProtocol protocol;
    private final EventLoop loop;
    private final ClientConnectionTable connections;
    private final IdleConnectionCloser closer;

    ConnectionSweeper(
            IngressSettings settings,
            ClientProtocol protocol,
            EventLoop loop,
            ClientConnectionTable connections,
            IdleConnectionCloser closer) {
        this.settings = settings;
        this.protocol = protocol;
        this.loop = loop;
        this.connections = connections;
        this.closer = closer;
    }

    void start() {
        scheduleNext();
    }

    private void scheduleNext() {
        loop.schedule(loop.nowTicks() + SWEEP_INTERVAL_TICKS, this::sweep);
    }

    /** Checks all connections and schedules the next sweep. */
    void sweep() {
        scheduleNext();
        long nowTicks = loop.nowTicks();
        connections.forEach(connection -> sweep(connection, nowTicks));
    }

    private void sweep(ClientConnection connection, long nowTicks) {
        int requestsRead = connection.input().decodedRequests();
        if (connection.writeStalledTicks(nowTicks) > settings.writeTimeoutTicks()) {
            connection.recordCloseReason(CloseReason.WRITE_TIMEOUT);
            connection.closeNow();
        } else if (connection.awaitsNextRequest() && !connection.isClosePending()) {
            long partialTicks = connection.partialRequestTicks();
            if (partialTicks > 0) {
                checkPartialRequest(connection, requestsRead, partialTicks);
            } else {
                checkIdle(connection, requestsRead, nowTicks - connection.idleSinceTicks());
            }
        }
    }

    private void checkPartialRequest(ClientConnection connection, int requestsRead, long partialTicks) {
        if (isPast(settings.partialRequestTimeoutTicks(), partialTicks)) {
            connection.recordCloseReason(CloseReason.PARTIAL_REQUEST_TIMEOUT);
            connection.write(
                    protocol.badRequest(
                            new HttpProtocolException(REQUEST_TIMEOUT, "the req did not come whole in time"), null),
                    true);
        } else if (partialTicks > settings.idleTimeoutTicks()) {
            // otherwise a client that sends single bytes of a request now and then could occupy a slot indefinitely
            closer.closeIfUnused(connection, requestsRead, CloseReason.IDLE_TIMEOUT, true);
        }
    }

    private void checkIdle(ClientConnection connection, int requestsRead, long idleTicks) {
        if (requestsRead == 0 && isPast(settings.firstRequestTimeoutTicks(), idleTicks)) {
            closer.closeIfUnused(connection, requestsRead, CloseReason.FIRST_REQUEST_TIMEOUT, false);
        } else if (idleTicks > settings.idleTimeoutTicks()) {
            closer.closeIfUnused(connection, requestsRead, CloseReason.IDLE_TIMEOUT, false);
        }
    }

    /** Whether a timeout is set and has expired. */
    private static boolean isPast(long timeoutTicks, long elapsedTicks) {
        return timeoutTicks > 0 && elapsedTicks > timeoutTicks;
    }
}

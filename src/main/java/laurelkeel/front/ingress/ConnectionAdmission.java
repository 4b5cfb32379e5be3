package laurelkeel.front.ingress;

import java.util.function.LongSupplier;
import laurelkeel.wire.ByteBudget;
import org.apache.mina.core.session.IoSession;
import org.jspecify.annotations.Nullable;

/**
 * Admits new connections while slots are free. When all slots are occupied, it closes one idle connection for each new one,
 * and rejects new connections that exceed the spare slots as well.
 *
 * <p>Thread-safe; called on the I/O thread that opens the connection, because another thread could not free slots quickly
 * enough during a burst of new connections.
 */
final class ConnectionAdmission {
    private static final int MAX_UNOPENED_CONNECTIONS = 16;

    private final IngressSettings settings;
    private final LongSupplier clockTicks;
    private final ClientConnectionTable connections;
    private final IdleConnectionCloser closer;
    private final EarlyRejections rejections;
    private final ByteBudget readAheadBudget;
    private final int maxAdmitted;

    ConnectionAdmission(
            IngressSettings settings,
            LongSupplier clockTicks,
            ClientConnectionTable connections,
            IdleConnectionCloser closer,
            EarlyRejections rejections,
            ByteBudget readAheadBudget) {
        this.settings = settings;
        this.clockTicks = clockTicks;
        this.connections = connections;
        this.closer = closer;
        this.rejections = rejections;
        this.readAheadBudget = readAheadBudget;
        // some spare slots are reserved for connections that are accepted but not opened yet, or that are being closed
        int unopened = Math.min(MAX_UNOPENED_CONNECTIONS, settings.spareConnections() / 4);
        maxAdmitted = settings.maxConnections() + settings.spareConnections() - unopened;
    }

    /** Creates the connection of a new session, and assigns a slot to it or rejects it. */
    void admit(IoSession session) {
        ClientConnection connection =
                new ClientConnection(session, settings.maxPipelinedRequests(), readAheadBudget, clockTicks.getAsLong());
        connection.attach();
        if (connections.occupySlot() > settings.maxConnections() && settings.minIdleTicks() > 0) {
            evictIdleConnection(connection);
        }
        if (connections.occupiedSlots() > maxAdmitted) {
            connection.reject(rejections.reject("every connection is in use", true));
        }
    }

    private void evictIdleConnection(ClientConnection newest) {
        VictimSearch search = new VictimSearch(newest);
        connections.forEach(search::consider);
        ClientConnection victim = search.victim;
        if (victim != null) {
            connections.releaseSlot(victim);
            closer.closeIfUnused(
                    victim, search.victimRequestsRead, CloseReason.EVICTED, search.victimRequestsRead == 0);
        }
    }

    /** Finds the connection to close: the oldest one without any request; if there is none, the one idle for longest. */
    private final class VictimSearch {
        private final ClientConnection newest;
        private @Nullable ClientConnection victim;
        /** The number of requests read from the victim at the time when it was selected. */
        private int victimRequestsRead;

        VictimSearch(ClientConnection newest) {
            this.newest = newest;
        }

        /** Selects a connection if it may be closed and is preferable to the one selected so far. */
        void consider(ClientConnection connection) {
            int requestsRead = connection.input().decodedRequests();
            if (connection != newest
                    && mayBeClosed(connection, requestsRead)
                    && isPreferred(connection, requestsRead)) {
                victim = connection;
                victimRequestsRead = requestsRead;
            }
        }

        private boolean mayBeClosed(ClientConnection connection, int requestsRead) {
            if (!connection.awaitsNextRequest() || connection.isClosePending() || connection.isClosing()) {
                return false;
            }
            long idleTicks = clockTicks.getAsLong() - connection.idleSinceTicks();
            boolean idle = !connection.hasPartialRequest() && idleTicks > settings.minIdleTicks();
            return idle || requestsRead == 0;
        }

        private boolean isPreferred(ClientConnection connection, int requestsRead) {
            if (victim == null) {
                return true;
            }
            boolean neverRequested = requestsRead == 0;
            return neverRequested == (victimRequestsRead == 0)
                    ? connection.idleSinceTicks() < victim.idleSinceTicks()
                    : neverRequested;
        }
    }
}

package laurelkeel.front.ingress;

import java.util.function.LongSupplier;
import org.apache.mina.core.session.IoSession;
import org.jspecify.annotations.Nullable;

/**
 * Admits new connections while slots are free. Once all are occupied, it closes an idle connection for each new one, and
 * rejects those that even the spare slots cannot take.
 *
 * <p>Thread-safe; called on the I/O thread that opens the connection, since a burst would be over before another thread has
 * made room.
 */
final class ConnectionAdmission {
    private static final int MAX_UNOPENED_CONNECTIONS = 16;

    private final IngressSettings settings;
    private final LongSupplier clockTicks;
    private final ClientConnectionTable connections;
    private final IdleConnectionCloser closer;
    private final EarlyRejections rejections;
    private final int maxAdmitted;

    ConnectionAdmission(
            IngressSettings settings,
            LongSupplier clockTicks,
            ClientConnectionTable connections,
            IdleConnectionCloser closer,
            EarlyRejections rejections) {
        this.settings = settings;
        this.clockTicks = clockTicks;
        this.connections = connections;
        this.closer = closer;
        this.rejections = rejections;
        // a part of the spare slots is for connections that are accepted and not opened yet, or being closed
        int unopened = Math.min(MAX_UNOPENED_CONNECTIONS, settings.spareConnections() / 4);
        maxAdmitted = settings.maxConnections() + settings.spareConnections() - unopened;
    }

    /** Makes a new session a client's connection, and gives it a slot or rejects it. */
    void admit(IoSession session) {
        ClientConnection connection =
                new ClientConnection(session, settings.maxPipelinedRequests(), clockTicks.getAsLong());
        connection.attach();
        if (connections.occupySlot() > settings.maxConnections() && settings.minIdleTicks() > 0) {
            makeRoom(connection);
        }
        if (connections.occupiedSlots() > maxAdmitted) {
            connection.reject(rejections.reject("every connection is in use", true));
        }
    }

    private void makeRoom(ClientConnection newest) {
        VictimSearch search = new VictimSearch(newest);
        connections.forEach(search::consider);
        ClientConnection victim = search.victim;
        if (victim != null) {
            connections.releaseSlot(victim);
            closer.closeIfUnused(
                    victim, search.victimRequestsRead, CloseReason.EVICTED, search.victimRequestsRead == 0);
        }
    }

    /** Finds the connection to close: the oldest one without a request, or else the one that has been idle longest. */
    private final class VictimSearch {
        private final ClientConnection newest;
        private @Nullable ClientConnection victim;
        /** As it was when the victim was found. */
        private int victimRequestsRead;

        VictimSearch(ClientConnection newest) {
            this.newest = newest;
        }

        void consider(ClientConnection connection) {
            int requestsRead = connection.requestsRead();
            if (connection != newest && mayBeClosed(connection, requestsRead) && isBetter(connection, requestsRead)) {
                victim = connection;
                victimRequestsRead = requestsRead;
            }
        }

        private boolean mayBeClosed(ClientConnection connection, int requestsRead) {
            if (!connection.owesNothing() || connection.isClosePending() || connection.isClosing()) {
                return false;
            }
            long idleTicks = clockTicks.getAsLong() - connection.idleSinceTicks();
            boolean idle = !connection.hasPartialRequest() && idleTicks > settings.minIdleTicks();
            return idle || requestsRead == 0;
        }

        private boolean isBetter(ClientConnection connection, int requestsRead) {
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

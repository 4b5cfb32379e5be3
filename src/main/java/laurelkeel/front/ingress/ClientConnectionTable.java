package laurelkeel.front.ingress;

import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.apache.mina.core.session.IoSession;

/**
 * The open connections from clients, the number of slots they occupy, and the number of ended connections by reason.
 *
 * <p>Thread-safe.
 */
final class ClientConnectionTable {
    private final ClientAcceptor acceptor;
    private final AtomicInteger occupiedSlots = new AtomicInteger();
    private final EnumCounts<CloseReason> closedByReason = new EnumCounts<>(CloseReason.class);

    ClientConnectionTable(ClientAcceptor acceptor) {
        this.acceptor = acceptor;
    }

    /** Performs an action for each open connection. */
    void forEach(Consumer<ClientConnection> action) {
        for (IoSession session : acceptor.getManagedSessions().values()) {
            ClientConnection connection = ClientConnection.of(session);
            if (connection != null) {
                action.accept(connection);
            }
        }
    }

    /** Returns the number of connections with a partially read request. */
    int partialRequests() {
        AtomicInteger partial = new AtomicInteger();
        forEach(connection -> partial.addAndGet(connection.hasPartialRequest() ? 1 : 0));
        return partial.get();
    }

    int occupiedSlots() {
        return occupiedSlots.get();
    }

    /** Counts a slot for a new connection; returns the number of occupied slots, including this one. */
    int occupySlot() {
        return occupiedSlots.incrementAndGet();
    }

    /** Releases the slot of a connection; has no effect if it was already released. */
    void releaseSlot(ClientConnection connection) {
        if (connection.markSlotReleased()) {
            occupiedSlots.decrementAndGet();
        }
    }

    /** Counts a slot for a connection again if its slot was released. */
    void reclaimSlot(ClientConnection connection) {
        if (connection.markSlotOccupied()) {
            occupiedSlots.incrementAndGet();
        }
    }

    /** Releases the slot of an ended connection and counts its close reason. */
    void recordClosed(ClientConnection connection) {
        releaseSlot(connection);
        closedByReason.increment(connection.closeReason());
    }

    /** Returns the number of connections that have ended since the start, by reason; reasons that never occurred are omitted. */
    Map<CloseReason, Long> closedConnections() {
        return closedByReason.aboveZero();
    }
}

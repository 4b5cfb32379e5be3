package laurelkeel.front.ingress;

import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.apache.mina.core.session.IoSession;

/** The open connections of clients, the slots that they occupy, and how many have ended for which reason. Thread-safe. */
final class ClientConnectionTable {
    private final ClientAcceptor acceptor;
    private final AtomicInteger occupiedSlots = new AtomicInteger();
    /** Has all reasons from the start, and is not changed after that. */
    private final Map<CloseReason, AtomicLong> closedByReason = new EnumMap<>(CloseReason.class);

    ClientConnectionTable(ClientAcceptor acceptor) {
        this.acceptor = acceptor;
        for (CloseReason reason : CloseReason.values()) {
            closedByReason.put(reason, new AtomicLong());
        }
    }

    /** Calls an action with each open connection. */
    void forEach(Consumer<ClientConnection> action) {
        for (IoSession session : acceptor.getManagedSessions().values()) {
            ClientConnection connection = ClientConnection.of(session);
            if (connection != null) {
                action.accept(connection);
            }
        }
    }

    /** Returns how many connections have read a request in part. */
    int partialRequests() {
        AtomicInteger partial = new AtomicInteger();
        forEach(connection -> partial.addAndGet(connection.hasPartialRequest() ? 1 : 0));
        return partial.get();
    }

    int occupiedSlots() {
        return occupiedSlots.get();
    }

    /** Counts the slot of a connection that opens; returns the number of slots that are then occupied. */
    int occupySlot() {
        return occupiedSlots.incrementAndGet();
    }

    /** Releases the slot of a connection, once. */
    void releaseSlot(ClientConnection connection) {
        if (connection.leaveSlot()) {
            occupiedSlots.decrementAndGet();
        }
    }

    /** Gives a connection its slot back if it was released. */
    void reclaimSlot(ClientConnection connection) {
        if (connection.retakeSlot()) {
            occupiedSlots.incrementAndGet();
        }
    }

    /** Releases the slot of a connection that has ended, and counts its reason. */
    void recordClosed(ClientConnection connection) {
        releaseSlot(connection);
        Objects.requireNonNull(closedByReason.get(connection.closeReason())).incrementAndGet();
    }

    /** Returns how many connections have ended since the start, by reason; without the reasons that none had. */
    Map<CloseReason, Long> closedConnections() {
        Map<CloseReason, Long> counts = new EnumMap<>(CloseReason.class);
        closedByReason.forEach((reason, count) -> {
            if (count.get() > 0) {
                counts.put(reason, count.get());
            }
        });
        return counts;
    }
}

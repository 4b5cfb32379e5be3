package laurelkeel.front.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import laurelkeel.wire.ByteBudget;
import org.apache.mina.core.session.DummySession;
import org.junit.jupiter.api.Test;

class ClientConnectionTest {
    private static final int MAX_PIPELINED_REQUESTS = 4;

    private final DummySession session = new DummySession();
    private final ClientConnection connection =
            new ClientConnection(session, MAX_PIPELINED_REQUESTS, new ByteBudget(0), 0);

    @Test
    void firstCloseReasonIsKept() {
        assertEquals(CloseReason.CONNECTION_ERROR, connection.closeReason(), "a failed write records none");
        connection.recordCloseReason(CloseReason.IDLE_TIMEOUT);
        connection.recordCloseReason(CloseReason.CONNECTION_ERROR);
        assertEquals(CloseReason.IDLE_TIMEOUT, connection.closeReason());
    }

    @Test
    void slotIsReleasedAndReclaimedOnlyOnce() {
        assertTrue(connection.markSlotReleased());
        assertFalse(connection.markSlotReleased());
        assertTrue(connection.markSlotOccupied());
        assertFalse(connection.markSlotOccupied());
    }

    @Test
    void onlyOneRequestIsInProgressAtATime() {
        assertFalse(connection.isReadyForNext());
        connection.enqueue(new PipelinedMessage.Rejected(null, false, false));
        assertTrue(connection.isReadyForNext());
        connection.setRequestInProgress(true);
        assertFalse(connection.isReadyForNext());
        connection.setRequestInProgress(false);
        connection.markClosed();
        assertFalse(connection.isReadyForNext());
        assertTrue(connection.discardsInput());
    }
}

package laurelkeel.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import laurelkeel.front.ingress.ClientRequest;
import laurelkeel.wire.ForwardedMessage;
import org.junit.jupiter.api.Test;

class AcceptedRequestTableTest {
    private final AcceptedRequestTable table = new AcceptedRequestTable("life");

    private static ClientRequest clientRequest(String id) {
        ForwardedMessage message = new ForwardedMessage(new byte[0], new byte[0]);
        return new ClientRequest(id, message, false, false, 0, 0, null, 1_000, 0, false);
    }

    private AcceptedRequest create(String clientRequestId) {
        return table.create(null, clientRequest(clientRequestId), 10, 1_010);
    }

    @Test
    void idsConsistOfTheIncarnationAndASequenceNumber() {
        assertEquals("life-0", create(null).id());
        for (int i = 1; i < 36; i++) {
            create(null);
        }
        AcceptedRequest request = create(null);
        assertEquals("life-10", request.id());
        assertEquals(36, request.number());
    }

    @Test
    void theNumberIsParsedOutOfTheId() {
        assertEquals(36, AcceptedRequestTable.requestNumber("life-10", "life"));
        assertEquals(-1, AcceptedRequestTable.requestNumber("other-10", "life"));
        assertEquals(-1, AcceptedRequestTable.requestNumber("life-?", "life"));
        assertEquals(-1, AcceptedRequestTable.requestNumber("", "life"));
    }

    @Test
    void aClientRequestIdIsReservedUntilItsRequestIsRemoved() {
        AcceptedRequest request = create("a");
        assertTrue(table.reserveClientRequestId(request.clientRequest()));
        table.add(request);
        assertFalse(table.reserveClientRequestId(clientRequest("a")));
        assertTrue(table.reserveClientRequestId(clientRequest("b")));
        assertTrue(table.reserveClientRequestId(clientRequest(null)));
        assertTrue(table.reserveClientRequestId(clientRequest(null)), "requests without an id do not conflict");
        assertTrue(table.remove(request));
        assertFalse(table.remove(request));
        assertTrue(table.reserveClientRequestId(clientRequest("a")));
    }

    @Test
    void requestsAreFoundByIdAndCountAsUnansweredUntilMarkedAnswered() {
        AcceptedRequest request = create(null);
        assertFalse(table.hasUnanswered());
        table.add(request);
        assertSame(request, table.get("life-0"));
        assertNull(table.get("life-1"));
        assertEquals(1, table.size());
        assertTrue(table.hasUnanswered());
        request.markAnswered();
        assertFalse(table.hasUnanswered());
        assertEquals(1, table.size());
    }

    @Test
    void aRequestIsFinishedOnceItIsAnsweredAndItsAttemptsHaveEnded() {
        AcceptedRequest request = create(null);
        DispatchedAttempt first = request.addAttempt("10.0.0.1:80", 10);
        DispatchedAttempt second = request.addAttempt("10.0.0.2:80", 20);
        assertEquals(1, second.number());
        first.end();
        request.markAnswered();
        assertFalse(request.isFinished());
        second.end();
        assertTrue(request.isFinished());
        assertFalse(request.isExpired(1_009));
        assertTrue(request.isExpired(1_010));
    }
}

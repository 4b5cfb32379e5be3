package laurelkeel.decision;

import static laurelkeel.decision.DecisionFixtures.request;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import laurelkeel.api.Settings.Idempotency;
import org.junit.jupiter.api.Test;

class RequestTableTest {
    private final RequestTable table = new RequestTable();

    @Test
    void requestsAreFoundByIdUntilTheyAreRemoved() {
        ActiveRequest request = request(Idempotency.IDEMPOTENT);
        table.add(request);
        assertSame(request, table.find("r"));
        table.remove(request);
        assertNull(table.find("r"));
    }

    @Test
    void eachRequestIsPendingOnceInTheOrderOfFirstMarking() {
        ActiveRequest first = request(Idempotency.IDEMPOTENT);
        ActiveRequest second = request(Idempotency.IDEMPOTENT);
        table.markPending(first);
        table.markPending(second);
        table.markPending(first);
        assertEquals(List.of(first, second), List.copyOf(table.pending()));
        table.clearPending();
        assertTrue(table.pending().isEmpty());
    }
}

package laurelkeel.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import laurelkeel.records.RecordTerms.DeduplicationScope;
import laurelkeel.records.RecordTerms.Idempotency;
import laurelkeel.records.TrafficRecord;
import org.junit.jupiter.api.Test;

class ClientCallTest {
    private static ClientCall call(Idempotency idempotency, DeduplicationScope scope) {
        LoadRoute route = new LoadRoute(
                "r", "POST", "/r", new TrafficRecord.RoutePolicy("r", idempotency, scope, 2_000), 10_000, 1);
        return new ClientCall("c1", route, null, null, 100, new RouteStatistics());
    }

    @Test
    void retrySafetyFollowsTheRoutesIdempotency() {
        assertTrue(call(Idempotency.IDEMPOTENT, DeduplicationScope.ALL).isRetrySafe(9_000));
        assertFalse(call(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL).isRetrySafe(101));
        assertFalse(call(Idempotency.DEDUPLICATED, DeduplicationScope.CELL).isRetrySafe(101));
    }

    @Test
    void retryOfADeduplicatedCallIsSafeInTheFirstHalfOfItsWindowOnly() {
        ClientCall call = call(Idempotency.DEDUPLICATED, DeduplicationScope.ALL);
        assertTrue(call.isRetrySafe(1_099));
        assertFalse(call.isRetrySafe(1_100));
    }

    @Test
    void onlyDeduplicatedCallsHaveAnIdempotencyKey() {
        assertEquals("m-c1", call(Idempotency.DEDUPLICATED, DeduplicationScope.ALL).idempotencyKey);
        assertNull(call(Idempotency.IDEMPOTENT, DeduplicationScope.ALL).idempotencyKey);
    }
}

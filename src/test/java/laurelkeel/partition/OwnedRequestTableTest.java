package laurelkeel.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import laurelkeel.api.Event.AttemptEnded;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Event.RequestReceived;
import laurelkeel.api.LoadReport;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class OwnedRequestTableTest {
    private static final String ID = "r";

    private final TrafficPartition partition = TrafficPartitionTest.partition(2, (nowTicks, events) -> List.of());
    private final OwnedRequestTable table = new OwnedRequestTable();

    @BeforeEach
    void addRequest() {
        table.add(new RequestReceived(ID, 0, 0, "k", 1_000, 0, false), partition, 1);
        partition.close();
    }

    private OwnedRequest request() {
        OwnedRequest request = table.find(ID);
        assertNotNull(request);
        return request;
    }

    private static AttemptEnded attemptEnded(int attempt, AttemptOutcome outcome) {
        return new AttemptEnded(ID, attempt, "e", outcome, 10, outcome == AttemptOutcome.COMPLETED, LoadReport.NONE);
    }

    @Test
    void aRequestIsStoredUntilItIsAnsweredAndItsAttemptsHaveEnded() {
        OwnedRequest request = request();
        request.onAttemptSent(2);
        table.onAnswered(ID);
        assertFalse(partition.isDrained(), "an attempt is in flight");
        table.onAttemptEnded(request, attemptEnded(0, AttemptOutcome.CANCELLED));
        assertNull(table.find(ID));
        assertTrue(partition.isDrained());
        table.onAnswered(ID);
    }

    @Test
    void aCompletedAttemptAnswersTheRequestAndAFailedOneDoesNot() {
        OwnedRequest request = request();
        request.onAttemptSent(1);
        table.onAttemptEnded(request, attemptEnded(0, AttemptOutcome.FAILED));
        assertFalse(request().isAnswered());
        request.onAttemptSent(2);
        assertEquals(2, request.lastAttemptBuild());
        table.onAttemptEnded(request, attemptEnded(1, AttemptOutcome.COMPLETED));
        assertNull(table.find(ID));
    }

    @Test
    void suppressedAttemptsAreNumberedOnlyWithinThePartition() {
        OwnedRequest request = request();
        assertEquals(0, request.suppressAttempt());
        request.onAttemptSent(2);
        assertEquals(1, request.toPartitionAttempt(0));
        assertEquals(0, request.toNodeAttempt(1));
        assertEquals(
                attemptEnded(1, AttemptOutcome.FAILED),
                request.withPartitionNumbering(attemptEnded(0, AttemptOutcome.FAILED)));
        table.onAttemptEnded(request, attemptEnded(0, AttemptOutcome.FAILED));
        assertEquals(2, request.suppressAttempt());
    }
}

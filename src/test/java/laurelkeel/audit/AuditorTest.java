package laurelkeel.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import laurelkeel.records.RecordTerms.DeduplicationScope;
import laurelkeel.records.RecordTerms.EndpointListKind;
import laurelkeel.records.RecordTerms.EndpointState;
import laurelkeel.records.RecordTerms.Idempotency;
import laurelkeel.records.RecordTerms.Outcome;
import laurelkeel.records.RecordTerms.RolloutPhase;
import laurelkeel.records.TrafficRecord;
import org.junit.jupiter.api.Test;

/** Each test adds the fewest records that violate one rule, and expects that no other rule is reported. */
class AuditorTest {
    private static final String NODE_INCARNATION = "incarnation";
    private static final String OLD_SERVER = "127.0.0.1:1";
    private static final String NEW_SERVER = "127.0.0.1:2";

    private final List<TrafficRecord> records = new ArrayList<>(List.of(
            new TrafficRecord.AuditParameters(
                    0,
                    List.of(
                            new TrafficRecord.RoutePolicy("look", Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0),
                            new TrafficRecord.RoutePolicy("pay", Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL, 0),
                            new TrafficRecord.RoutePolicy(
                                    "note", Idempotency.DEDUPLICATED, DeduplicationScope.CELL, 20_000)),
                    2_000,
                    10_000,
                    1,
                    false,
                    1,
                    true,
                    List.of(0.5, 1.0)),
            new TrafficRecord.NodeStarted(1, 0, NODE_INCARNATION),
            serverStarted(OLD_SERVER, 1, 0, false),
            serverStarted(NEW_SERVER, 2, 1, false),
            new TrafficRecord.EndpointListReceived(
                    3,
                    0,
                    NODE_INCARNATION,
                    EndpointListKind.SNAPSHOT,
                    List.of(
                            new TrafficRecord.EndpointEntry(OLD_SERVER, 1, 1, EndpointState.ACTIVE),
                            new TrafficRecord.EndpointEntry(NEW_SERVER, 2, 2, EndpointState.ACTIVE))),
            new TrafficRecord.RolloutUpdateReceived(4, 0, NODE_INCARNATION, 1, 0, 1, RolloutPhase.RELEASED)));

    private static TrafficRecord serverStarted(String endpointId, int build, int cell, boolean cold) {
        return new TrafficRecord.ServerStarted(2, endpointId, build, build, 0, cell, 100, 0.1, 50_000, 2, 10_000, cold);
    }

    private void send(long ticks, String requestId, String route, String partitionKey) {
        records.add(new TrafficRecord.RequestSent(
                ticks, requestId, requestId, 0, route, null, partitionKey, null, ticks + 10_000, false));
    }

    private void attempt(long ticks, String requestId, int number, String endpointId) {
        int build = endpointId.equals(OLD_SERVER) ? 1 : 2;
        records.add(new TrafficRecord.AttemptArrived(
                ticks, endpointId, build, build, requestId, number, 0, NODE_INCARNATION));
    }

    private void respond(long ticks, String requestId, int number, String endpointId, Outcome outcome) {
        int build = endpointId.equals(OLD_SERVER) ? 1 : 2;
        records.add(new TrafficRecord.AttemptAnswered(ticks - 1, endpointId, build, requestId, number, 200));
        records.add(new TrafficRecord.ResponseReceived(ticks, requestId, 200, outcome, false));
    }

    private void exchange(long ticks, String requestId, String route, String partitionKey, String endpointId) {
        send(ticks, requestId, route, partitionKey);
        attempt(ticks + 10, requestId, 1, endpointId);
        respond(ticks + 50, requestId, 1, endpointId, Outcome.COMPLETED);
    }

    private AuditReport audit() {
        records.sort(Comparator.comparingLong(TrafficRecord::timeTicks));
        return Auditor.audit(records);
    }

    private void assertOnlyViolation(int ruleNumber, String text) {
        AuditReport report = audit();
        assertEquals(4, report.rulesKept(), report.violations()::toString);
        assertTrue(
                report.violations().stream()
                        .allMatch(violation -> violation.ruleNumber() == ruleNumber
                                && violation.description().contains(text)),
                report.violations()::toString);
    }

    @Test
    void findsNoViolationInPlainExchanges() {
        exchange(1_000, "c1", "look", "k1", OLD_SERVER);
        exchange(2_000, "c2", "pay", null, OLD_SERVER);
        AuditReport report = audit();
        assertEquals(5, report.rulesKept(), report.violations()::toString);
        assertEquals(2, report.requestCount());
        assertEquals(0, report.unansweredCount());
    }

    @Test
    void rule1CountsARequestWithoutAResponse() {
        send(1_000, "c1", "look", null);
        assertOnlyViolation(1, "no response within its timeout of 1000.0 ms");
        assertEquals(1, audit().unansweredCount());
    }

    @Test
    void rule1FindsASecondResponse() {
        exchange(1_000, "c1", "look", null, OLD_SERVER);
        records.add(new TrafficRecord.ResponseReceived(1_100, "c1", 503, Outcome.REJECTED, false));
        assertOnlyViolation(1, "second response, SHED, 5.0 ms after the first, COMPLETED");
    }

    @Test
    void rule1AllowsAConnectionBrokenByAKilledNode() {
        send(1_000, "c1", "look", null);
        records.add(new TrafficRecord.ConnectionBroken(1_100, "c1", "the connection closed"));
        records.add(new TrafficRecord.NodeStopped(1_090, 0, true));
        assertEquals(5, audit().rulesKept());
    }

    @Test
    void rule2FindsARetryOfARequestThatIsNotIdempotent() {
        exchange(1_000, "c1", "pay", null, OLD_SERVER);
        attempt(1_020, "c1", 2, OLD_SERVER);
        assertOnlyViolation(2, "request that is not idempotent retried");
    }

    @Test
    void rule2AllowsARetryAfterAProvenRejection() {
        exchange(1_000, "c1", "pay", null, OLD_SERVER);
        records.add(new TrafficRecord.AttemptRejected(1_015, OLD_SERVER, 1, "c1", 1));
        attempt(1_020, "c1", 2, OLD_SERVER);
        assertEquals(5, audit().rulesKept());
    }

    @Test
    void rule2FindsARejectionOfARequestThatMayHaveRun() {
        send(1_000, "c1", "pay", null);
        attempt(1_010, "c1", 1, OLD_SERVER);
        respond(1_050, "c1", 1, OLD_SERVER, Outcome.REJECTED);
        assertOnlyViolation(2, "rejected, which states that a retry is safe");
    }

    @Test
    void rule3FindsAnAttemptAfterTheGracePeriod() {
        records.add(new TrafficRecord.EndpointListReceived(
                1_000,
                0,
                NODE_INCARNATION,
                EndpointListKind.DELTA,
                List.of(new TrafficRecord.EndpointEntry(OLD_SERVER, 1, 1, EndpointState.DRAINING))));
        exchange(2_000, "c1", "look", null, OLD_SERVER);
        assertEquals(5, audit().rulesKept());
        exchange(4_000, "c2", "look", null, OLD_SERVER);
        assertOnlyViolation(3, "301.0 ms after it learned that the endpoint drains or is removed");
    }

    @Test
    void rule4FindsAnOverloadedWarmingServer() {
        records.add(serverStarted("127.0.0.1:3", 1, 0, true));
        records.add(new TrafficRecord.EndpointListReceived(
                5,
                0,
                NODE_INCARNATION,
                EndpointListKind.DELTA,
                List.of(new TrafficRecord.EndpointEntry("127.0.0.1:3", 1, 1, EndpointState.ACTIVE))));
        for (int i = 0; i < 40; i++) {
            String requestId = "c" + i;
            send(1_000 + i, requestId, "look", null);
            records.add(new TrafficRecord.AttemptArrived(
                    1_010 + i, "127.0.0.1:3", 1, 1, requestId, 1, 0, NODE_INCARNATION));
            respond(1_050 + i, requestId, 1, OLD_SERVER, Outcome.COMPLETED);
        }
        assertOnlyViolation(4, "was overloaded");
    }

    @Test
    void rule5FindsExposureAboveTheCap() {
        records.add(new TrafficRecord.RolloutUpdateReceived(900, 0, NODE_INCARNATION, 2, 0, 0.5, RolloutPhase.CANARY));
        exchange(10_000, "c1", "look", null, NEW_SERVER);
        assertEquals(5, audit().rulesKept());
        exchange(10_100, "c2", "look", null, NEW_SERVER);
        exchange(10_200, "c3", "look", null, NEW_SERVER);
        assertOnlyViolation(5, "had 3 attempts at build 2 within 1000.0 ms; 2.5 are allowed: cap 0.5 of 3 requests");
    }

    @Test
    void rule5FindsARequestThatIsNotIdempotentInAGuardedStage() {
        records.add(new TrafficRecord.RolloutUpdateReceived(900, 0, NODE_INCARNATION, 2, 0, 0.5, RolloutPhase.CANARY));
        exchange(10_000, "c1", "pay", null, NEW_SERVER);
        assertOnlyViolation(5, "a NON_RETRIABLE request went to build 2 in guarded stage 0");
    }

    @Test
    void rule5FindsAPartitionKeySentToAnEarlierBuild() {
        records.add(new TrafficRecord.RolloutUpdateReceived(900, 0, NODE_INCARNATION, 2, 0, 0.5, RolloutPhase.CANARY));
        exchange(10_000, "c1", "look", "k1", NEW_SERVER);
        exchange(20_000, "c2", "look", "k1", OLD_SERVER);
        assertOnlyViolation(
                5, "partition key k1, answered by build 2, went to build 1 although build 2 was not rolled back");
    }

    @Test
    void rejectsRecordsWithoutParameters() {
        assertThrows(IllegalArgumentException.class, () -> Auditor.audit(List.of()));
    }
}

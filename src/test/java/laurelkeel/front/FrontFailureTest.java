package laurelkeel.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import laurelkeel.api.Action;
import laurelkeel.api.Decider;
import laurelkeel.api.Event;
import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.audit.AuditReport;
import laurelkeel.audit.RuleViolation;
import laurelkeel.records.RecordTerms;
import laurelkeel.records.TrafficRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Nodes that break the rules prove the audit: it names the rule, the request and the moment, and no other rule. */
class FrontFailureTest {
    @TempDir
    Path directory;

    private FrontTestRig startRig(String extra, Supplier<Decider> decider) throws Exception {
        return new FrontTestRig(directory, extra, 1, 4, (set, seed) -> decider.get(), false);
    }

    private static void awaitAnswers(FrontTestRig rig, int n) {
        FrontTestRig.await(n + " answers", () -> rig.count(TrafficRecord.ResponseReceived.class, a -> true) >= n);
    }

    private static List<RuleViolation> assertOnlyRuleViolated(FrontTestRig rig, int ruleNumber, String text)
            throws Exception {
        AuditReport report = rig.audit();
        List<RuleViolation> violations = report.violations().stream()
                .filter(violation -> violation.ruleNumber() == ruleNumber)
                .toList();
        assertFalse(violations.isEmpty(), "rule " + ruleNumber + " was broken unseen");
        assertTrue(
                violations.stream()
                        .anyMatch(violation -> violation.description().contains(text)),
                violations.get(0).description());
        assertEquals(
                List.of(),
                report.violations().stream()
                        .filter(violation -> violation.ruleNumber() != ruleNumber)
                        .map(RuleViolation::description)
                        .distinct()
                        .limit(3)
                        .toList());
        Set<String> requestIds = new HashSet<>();
        rig.records.forEach(trafficRecord -> {
            if (trafficRecord instanceof TrafficRecord.RequestSent sent) {
                requestIds.add(sent.requestId());
            }
        });
        assertTrue(
                violations.stream()
                        .allMatch(violation -> requestIds.contains(violation.requestId()) && violation.timeTicks() > 0),
                "no req or moment named");
        return violations;
    }

    @Test
    void aDeciderThatKeepsTheRulesHasNoViolation() throws Exception {
        try (FrontTestRig rig = startRig("", RuleBreakingDecider::new)) {
            rig.startLoad();
            awaitAnswers(rig, 300);
            AuditReport report = rig.audit();
            assertEquals(List.of(), report.violations());
            assertEquals(0, report.unansweredCount());
        }
    }

    @Test
    void twoAnswersToOneRequestAreAViolation() throws Exception {
        try (FrontTestRig rig = startRig("", () -> new RuleBreakingDecider() {
            @Override
            void onRequest(Event.RequestReceived r) {
                super.onRequest(r);
                if (sentAttempts % 20 == 0) {
                    actions.add(new Action.FailRequest(r.requestId()));
                    actions.add(new Action.FailRequest(r.requestId()));
                }
            }
        })) {
            rig.startLoad();
            awaitAnswers(rig, 300);
            assertOnlyRuleViolated(rig, 1, "after the response");
        }
    }

    @Test
    void noAnswerAtAllIsAViolation() throws Exception {
        try (FrontTestRig rig = startRig("", () -> new RuleBreakingDecider() {
            @Override
            void onRequest(Event.RequestReceived r) {
                if (++seenRequests % 50 != 0) {
                    send(r);
                }
            }
        })) {
            rig.startLoad();
            awaitAnswers(rig, 300);
            assertOnlyRuleViolated(rig, 1, "no response within its timeout of");
        }
    }

    @Test
    void aNonIdempotentRequestSentTwiceIsAViolation() throws Exception {
        try (FrontTestRig rig = startRig("[build 1]\nfailing-pay = 0.3\n", () -> new RuleBreakingDecider() {
            @Override
            void onAttemptFailed(Event.RequestReceived r, Event.AttemptEnded t) {
                if (r.route() == 1 && t.attempt() == 0) {
                    send(r);
                } else {
                    super.onAttemptFailed(r, t);
                }
            }
        })) {
            rig.startLoad();
            awaitAnswers(rig, 300);
            assertOnlyRuleViolated(rig, 2, "request that is not idempotent retried");
        }
    }

    @Test
    void aRejectionOfARequestThatMayHaveRunIsAViolation() throws Exception {
        try (FrontTestRig rig = startRig("[build 1]\nfailing-pay = 0.3\n", () -> new RuleBreakingDecider() {
            @Override
            void onAttemptFailed(Event.RequestReceived r, Event.AttemptEnded t) {
                activeRequests.remove(r.requestId());
                actions.add(new Action.RejectRequest(r.requestId(), 0));
            }
        })) {
            rig.startLoad();
            awaitAnswers(rig, 300);
            assertOnlyRuleViolated(rig, 2, "which states that a retry is safe");
        }
    }

    @Test
    void attemptsAtADrainingEndpointAreAViolation() throws Exception {
        try (FrontTestRig rig = startRig("", () -> new RuleBreakingDecider() {
            @Override
            boolean mayUse(EndpointEntry m, Event.RequestReceived r) {
                return m.state() != Event.EndpointState.REMOVED && m.build() == 1;
            }
        })) {
            rig.startLoad();
            awaitAnswers(rig, 100);
            rig.applyFault("what = drain\n");
            FrontTestRig.await(
                    "it is gone",
                    () -> rig.count(
                                    TrafficRecord.ServerStopped.class,
                                    m -> m.reason() == RecordTerms.StopReason.DRAINED)
                            > 0);
            assertOnlyRuleViolated(rig, 3, "after it learned that the endpoint drains");
        }
    }

    @Test
    void overloadingAnEndpointThatWarmsUpIsAViolation() throws Exception {
        try (FrontTestRig rig = startRig("[fleet]\ncores = 1\n", () -> new RuleBreakingDecider() {
            @Override
            boolean mayUse(EndpointEntry m, Event.RequestReceived r) {
                boolean cold = endpoints.values().stream()
                        .anyMatch(o -> o.startedAtTicks() > 0 && o.state() == Event.EndpointState.ACTIVE);
                return super.mayUse(m, r) && (!cold || m.startedAtTicks() > 0);
            }
        })) {
            rig.startLoad();
            awaitAnswers(rig, 100);
            rig.applyFault("what = crash\nback-after = 100 ms\n");
            FrontTestRig.await(
                    "it tips",
                    () -> rig.count(
                                    TrafficRecord.ServerStopped.class,
                                    m -> m.reason() == RecordTerms.StopReason.OVERLOADED)
                            > 0);
            assertOnlyRuleViolated(rig, 4, "was overloaded");
        }
    }

    private static RuleBreakingDecider canaryForOneIn(int trialOneIn) {
        return new RuleBreakingDecider() {
            @Override
            boolean mayUse(EndpointEntry m, Event.RequestReceived r) {
                boolean trial = r.route() == 0
                        && sentAttempts % trialOneIn == 0
                        && endpoints.values().stream().anyMatch(o -> o.build() == 2);
                return m.state() == Event.EndpointState.ACTIVE && m.build() == (trial ? 2 : 1);
            }
        };
    }

    private void awaitCanaryTraffic(FrontTestRig rig) throws Exception {
        rig.startLoad();
        awaitAnswers(rig, 50);
        rig.applyFault("what = offer\nbuild = 2\n");
        FrontTestRig.await(
                "the trial gets traffic",
                () -> rig.count(TrafficRecord.AttemptArrived.class, a -> a.build() == 2) > 120);
    }

    @Test
    void exposureOverTheCapIsAViolation() throws Exception {
        // all keys, always to the same build, and idempotent requests only in the guarded stage
        try (FrontTestRig rig = startRig("", () -> new RuleBreakingDecider() {
            @Override
            boolean mayUse(EndpointEntry m, Event.RequestReceived r) {
                boolean trial =
                        r.partitionKey() != null && endpoints.values().stream().anyMatch(o -> o.build() == 2);
                return m.state() == Event.EndpointState.ACTIVE
                        && (trial ? m.build() == 2 && r.route() == 0 : m.build() == 1);
            }
        })) {
            awaitCanaryTraffic(rig);
            assertOnlyRuleViolated(rig, 5, "attempts at build 2");
        }
    }

    @Test
    void exposureOfTheSecondCanaryAloneOverItsCapIsAViolation() throws Exception {
        // of two canaries the first has a sixteenth of a route's keys, the second most of them; the cap is a fifth
        try (FrontTestRig rig = startRig("", () -> new RuleBreakingDecider() {
            @Override
            boolean mayUse(EndpointEntry m, Event.RequestReceived r) {
                int slice = r.partitionKey() == null || r.route() != 0
                        ? 0
                        : Math.floorMod(r.partitionKey().hashCode(), 16);
                int wanted = slice == 1 ? 2 : slice > 1 ? 3 : 1;
                boolean there = endpoints.values().stream().anyMatch(o -> o.build() == wanted);
                return m.state() == Event.EndpointState.ACTIVE && m.build() == (there ? wanted : 1);
            }
        })) {
            rig.startLoad();
            awaitAnswers(rig, 50);
            rig.applyFault("what = offer\nbuild = 2\n");
            rig.applyFault("what = offer\nbuild = 3\n");
            FrontTestRig.await(
                    "both have traffic",
                    () -> rig.count(TrafficRecord.AttemptArrived.class, a -> a.build() == 2) > 5
                            && rig.count(TrafficRecord.AttemptArrived.class, a -> a.build() == 3) > 120);
            assertTrue(assertOnlyRuleViolated(rig, 5, "attempts at build 3").stream()
                    .noneMatch(b -> b.description().contains("attempts at build 2")));
        }
    }

    @Test
    void aStickyKeyAtAnEarlierBuildIsAViolation() throws Exception {
        try (FrontTestRig rig = startRig("", () -> canaryForOneIn(8))) {
            awaitCanaryTraffic(rig);
            assertOnlyRuleViolated(rig, 5, "was not rolled back");
        }
    }

    @Test
    void anEffectInAGuardedStageIsAViolation() throws Exception {
        try (FrontTestRig rig = startRig("", () -> new RuleBreakingDecider() {
            @Override
            boolean mayUse(EndpointEntry m, Event.RequestReceived r) {
                boolean trial = r.partitionKey() == null
                        && sentAttempts % 12 == 0
                        && endpoints.values().stream().anyMatch(o -> o.build() == 2);
                return m.state() == Event.EndpointState.ACTIVE && m.build() == (trial ? 2 : 1);
            }
        })) {
            rig.startLoad();
            awaitAnswers(rig, 50);
            rig.applyFault("what = offer\nbuild = 2\n");
            FrontTestRig.await(
                    "a guarded one", () -> rig.count(TrafficRecord.AttemptArrived.class, a -> a.build() == 2) > 8);
            assertOnlyRuleViolated(rig, 5, "in guarded stage");
        }
    }
}

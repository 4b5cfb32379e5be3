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

/**
 * The audit detects nodes that break a rule: it reports the rule, the request and the time, and violations of no other
 * rule.
 */
class FrontFailureTest {
    @TempDir
    Path directory;

    private FrontTestRig startRig(String extra, Supplier<Decider> decider) throws Exception {
        return new FrontTestRig(directory, extra, 1, 4, (settings, seed) -> decider.get(), false);
    }

    private static void awaitAnswers(FrontTestRig rig, int count) {
        FrontTestRig.await(
                count + " answers", () -> rig.count(TrafficRecord.ResponseReceived.class, a -> true) >= count);
    }

    private static List<RuleViolation> assertOnlyRuleViolated(FrontTestRig rig, int ruleNumber, String text)
            throws Exception {
        AuditReport report = rig.audit();
        List<RuleViolation> violations = report.violations().stream()
                .filter(violation -> violation.ruleNumber() == ruleNumber)
                .toList();
        assertFalse(violations.isEmpty(), "rule " + ruleNumber + " was broken, but no violation was reported");
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
                "a violation without request or time");
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
            void onRequest(Event.RequestReceived request) {
                super.onRequest(request);
                if (sentAttempts % 20 == 0) {
                    actions.add(new Action.FailRequest(request.requestId()));
                    actions.add(new Action.FailRequest(request.requestId()));
                }
            }
        })) {
            rig.startLoad();
            awaitAnswers(rig, 300);
            assertOnlyRuleViolated(rig, 1, "after the response");
        }
    }

    @Test
    void aMissingAnswerIsAViolation() throws Exception {
        try (FrontTestRig rig = startRig("", () -> new RuleBreakingDecider() {
            @Override
            void onRequest(Event.RequestReceived request) {
                if (++seenRequests % 50 != 0) {
                    send(request);
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
            void onAttemptFailed(Event.RequestReceived request, Event.AttemptEnded attempt) {
                if (request.route() == 1 && attempt.attempt() == 0) {
                    send(request);
                } else {
                    super.onAttemptFailed(request, attempt);
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
            void onAttemptFailed(Event.RequestReceived request, Event.AttemptEnded attempt) {
                activeRequests.remove(request.requestId());
                actions.add(new Action.RejectRequest(request.requestId(), 0));
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
            boolean mayUse(EndpointEntry endpoint, Event.RequestReceived request) {
                return endpoint.state() != Event.EndpointState.REMOVED && endpoint.build() == 1;
            }
        })) {
            rig.startLoad();
            awaitAnswers(rig, 100);
            rig.applyFault("what = drain\n");
            FrontTestRig.await(
                    "the endpoint has stopped",
                    () -> rig.count(
                                    TrafficRecord.ServerStopped.class,
                                    stopped -> stopped.reason() == RecordTerms.StopReason.DRAINED)
                            > 0);
            assertOnlyRuleViolated(rig, 3, "after it learned that the endpoint drains");
        }
    }

    @Test
    void overloadingAnEndpointThatIsWarmingUpIsAViolation() throws Exception {
        try (FrontTestRig rig = startRig("[fleet]\ncores = 1\n", () -> new RuleBreakingDecider() {
            @Override
            boolean mayUse(EndpointEntry endpoint, Event.RequestReceived request) {
                boolean isAnyWarmingUp = endpoints.values().stream()
                        .anyMatch(o -> o.startedAtTicks() > 0 && o.state() == Event.EndpointState.ACTIVE);
                return super.mayUse(endpoint, request) && (!isAnyWarmingUp || endpoint.startedAtTicks() > 0);
            }
        })) {
            rig.startLoad();
            awaitAnswers(rig, 100);
            rig.applyFault("what = crash\nback-after = 100 ms\n");
            FrontTestRig.await(
                    "the endpoint stops of overload",
                    () -> rig.count(
                                    TrafficRecord.ServerStopped.class,
                                    stopped -> stopped.reason() == RecordTerms.StopReason.OVERLOADED)
                            > 0);
            assertOnlyRuleViolated(rig, 4, "was overloaded");
        }
    }

    private static RuleBreakingDecider sendOneInToCanary(int interval) {
        return new RuleBreakingDecider() {
            @Override
            boolean mayUse(EndpointEntry endpoint, Event.RequestReceived request) {
                boolean toCanary = request.route() == 0
                        && sentAttempts % interval == 0
                        && endpoints.values().stream().anyMatch(o -> o.build() == 2);
                return endpoint.state() == Event.EndpointState.ACTIVE && endpoint.build() == (toCanary ? 2 : 1);
            }
        };
    }

    private void awaitCanaryTraffic(FrontTestRig rig) throws Exception {
        rig.startLoad();
        awaitAnswers(rig, 50);
        rig.applyFault("what = offer\nbuild = 2\n");
        FrontTestRig.await(
                "the canary gets traffic",
                () -> rig.count(TrafficRecord.AttemptArrived.class, a -> a.build() == 2) > 120);
    }

    @Test
    void exposureOverTheCapIsAViolation() throws Exception {
        // each key always goes to the same build, and only idempotent requests to the canary in its guarded stage
        try (FrontTestRig rig = startRig("", () -> new RuleBreakingDecider() {
            @Override
            boolean mayUse(EndpointEntry endpoint, Event.RequestReceived request) {
                boolean toCanary = request.partitionKey() != null
                        && endpoints.values().stream().anyMatch(o -> o.build() == 2);
                return endpoint.state() == Event.EndpointState.ACTIVE
                        && (toCanary ? endpoint.build() == 2 && request.route() == 0 : endpoint.build() == 1);
            }
        })) {
            awaitCanaryTraffic(rig);
            assertOnlyRuleViolated(rig, 5, "attempts at build 2");
        }
    }

    @Test
    void exposureOfOnlyTheSecondCanaryOverItsCapIsAViolation() throws Exception {
        // the first canary gets a sixteenth of a route's keys and the second most of them; the cap is a fifth
        try (FrontTestRig rig = startRig("", () -> new RuleBreakingDecider() {
            @Override
            boolean mayUse(EndpointEntry endpoint, Event.RequestReceived request) {
                int keyGroup = request.partitionKey() == null || request.route() != 0
                        ? 0
                        : Math.floorMod(request.partitionKey().hashCode(), 16);
                int build = keyGroup == 1 ? 2 : keyGroup > 1 ? 3 : 1;
                boolean exists = endpoints.values().stream().anyMatch(o -> o.build() == build);
                return endpoint.state() == Event.EndpointState.ACTIVE && endpoint.build() == (exists ? build : 1);
            }
        })) {
            rig.startLoad();
            awaitAnswers(rig, 50);
            rig.applyFault("what = offer\nbuild = 2\n");
            rig.applyFault("what = offer\nbuild = 3\n");
            FrontTestRig.await(
                    "both canaries get traffic",
                    () -> rig.count(TrafficRecord.AttemptArrived.class, a -> a.build() == 2) > 5
                            && rig.count(TrafficRecord.AttemptArrived.class, a -> a.build() == 3) > 120);
            assertTrue(assertOnlyRuleViolated(rig, 5, "attempts at build 3").stream()
                    .noneMatch(violation -> violation.description().contains("attempts at build 2")));
        }
    }

    @Test
    void aStickyKeySentBackToAnEarlierBuildIsAViolation() throws Exception {
        try (FrontTestRig rig = startRig("", () -> sendOneInToCanary(8))) {
            awaitCanaryTraffic(rig);
            assertOnlyRuleViolated(rig, 5, "was not rolled back");
        }
    }

    @Test
    void aRequestThatIsNotIdempotentInAGuardedStageIsAViolation() throws Exception {
        try (FrontTestRig rig = startRig("", () -> new RuleBreakingDecider() {
            @Override
            boolean mayUse(EndpointEntry endpoint, Event.RequestReceived request) {
                boolean toCanary = request.partitionKey() == null
                        && sentAttempts % 12 == 0
                        && endpoints.values().stream().anyMatch(o -> o.build() == 2);
                return endpoint.state() == Event.EndpointState.ACTIVE && endpoint.build() == (toCanary ? 2 : 1);
            }
        })) {
            rig.startLoad();
            awaitAnswers(rig, 50);
            rig.applyFault("what = offer\nbuild = 2\n");
            FrontTestRig.await(
                    "requests reach the canary in the guarded stage",
                    () -> rig.count(TrafficRecord.AttemptArrived.class, a -> a.build() == 2) > 8);
            assertOnlyRuleViolated(rig, 5, "in guarded stage");
        }
    }
}

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
import laurelkeel.records.TrafficRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The audit is proved by fronts that break the rules: it names the rule, the req and the moment, and no other. */
class FrontFailureTest {
    @TempDir
    Path folder;

    private FrontTestRig rig(String extra, Supplier<Decider> decider) throws Exception {
        return new FrontTestRig(folder, extra, 1, 4, (set, seed) -> decider.get(), false);
    }

    private static void answered(FrontTestRig rig, int n) {
        FrontTestRig.await(n + " answers", () -> rig.count(TrafficRecord.Answered.class, a -> true) >= n);
    }

    private static List<RuleViolation> only(FrontTestRig rig, int rule, String text) throws Exception {
        AuditReport j = rig.judge();
        List<RuleViolation> of =
                j.breaches().stream().filter(b -> b.rule() == rule).toList();
        assertFalse(of.isEmpty(), "rule " + rule + " was broken unseen");
        assertTrue(of.stream().anyMatch(b -> b.what().contains(text)), of.get(0).what());
        assertEquals(
                List.of(),
                j.breaches().stream()
                        .filter(b -> b.rule() != rule)
                        .map(RuleViolation::what)
                        .distinct()
                        .limit(3)
                        .toList());
        Set<String> reqs = new HashSet<>();
        rig.records.forEach(r -> {
            if (r instanceof TrafficRecord.Asked a) {
                reqs.add(a.req());
            }
        });
        assertTrue(of.stream().allMatch(b -> reqs.contains(b.req()) && b.t() > 0), "no req or moment named");
        return of;
    }

    @Test
    void aDeciderThatKeepsTheRulesIsNotBlamed() throws Exception {
        try (FrontTestRig rig = rig("", RuleBreakingDecider::new)) {
            rig.load();
            answered(rig, 300);
            AuditReport j = rig.judge();
            assertEquals(List.of(), j.breaches());
            assertEquals(0, j.unanswered());
        }
    }

    @Test
    void twoAnswersToOneReq() throws Exception {
        try (FrontTestRig rig = rig("", () -> new RuleBreakingDecider() {
            @Override
            void taken(Event.RequestReceived r) {
                super.taken(r);
                if (turn % 20 == 0) {
                    out.add(new Action.FailRequest(r.requestId()));
                    out.add(new Action.FailRequest(r.requestId()));
                }
            }
        })) {
            rig.load();
            answered(rig, 300);
            only(rig, 1, "after its answer");
        }
    }

    @Test
    void noAnswerAtAll() throws Exception {
        try (FrontTestRig rig = rig("", () -> new RuleBreakingDecider() {
            @Override
            void taken(Event.RequestReceived r) {
                if (++seen % 50 != 0) {
                    send(r);
                }
            }
        })) {
            rig.load();
            answered(rig, 300);
            only(rig, 1, "no answer in its");
        }
    }

    @Test
    void aNonRetriableReqSentTwice() throws Exception {
        try (FrontTestRig rig = rig("[build 1]\nfailing-pay = 0.3\n", () -> new RuleBreakingDecider() {
            @Override
            void failed(Event.RequestReceived r, Event.AttemptEnded t) {
                if (r.route() == 1 && t.attempt() == 0) {
                    send(r);
                } else {
                    super.failed(r, t);
                }
            }
        })) {
            rig.load();
            answered(rig, 300);
            only(rig, 2, "a non-retriable req sent again");
        }
    }

    @Test
    void aShedThatIsNotHarmless() throws Exception {
        try (FrontTestRig rig = rig("[build 1]\nfailing-pay = 0.3\n", () -> new RuleBreakingDecider() {
            @Override
            void failed(Event.RequestReceived r, Event.AttemptEnded t) {
                held.remove(r.requestId());
                out.add(new Action.RejectRequest(r.requestId(), 0));
            }
        })) {
            rig.load();
            answered(rig, 300);
            only(rig, 2, "calls asking again harmless");
        }
    }

    @Test
    void sendsToADrainingMachine() throws Exception {
        try (FrontTestRig rig = rig("", () -> new RuleBreakingDecider() {
            @Override
            boolean uses(EndpointEntry m, Event.RequestReceived r) {
                return m.state() != Event.EndpointState.REMOVED && m.build() == 1;
            }
        })) {
            rig.load();
            answered(rig, 100);
            rig.befall("what = drain\n");
            FrontTestRig.await(
                    "it is gone",
                    () -> rig.count(TrafficRecord.MachineDown.class, m -> m.why()
                                    .equals("drained"))
                            > 0);
            only(rig, 3, "after it was told that it drains");
        }
    }

    @Test
    void aColdMachineFlooded() throws Exception {
        try (FrontTestRig rig = rig("[fleet]\ncores = 1\n", () -> new RuleBreakingDecider() {
            @Override
            boolean uses(EndpointEntry m, Event.RequestReceived r) {
                boolean cold = machines.values().stream()
                        .anyMatch(o -> o.startedAtTicks() > 0 && o.state() == Event.EndpointState.ACTIVE);
                return super.uses(m, r) && (!cold || m.startedAtTicks() > 0);
            }
        })) {
            rig.load();
            answered(rig, 100);
            rig.befall("what = crash\nback-after = 100 ms\n");
            FrontTestRig.await(
                    "it tips",
                    () -> rig.count(TrafficRecord.MachineDown.class, m -> m.why()
                                    .equals("tipped"))
                            > 0);
            only(rig, 4, "was pushed over");
        }
    }

    private static RuleBreakingDecider either(int trialOneIn) {
        return new RuleBreakingDecider() {
            @Override
            boolean uses(EndpointEntry m, Event.RequestReceived r) {
                boolean trial = r.route() == 0
                        && turn % trialOneIn == 0
                        && machines.values().stream().anyMatch(o -> o.build() == 2);
                return m.state() == Event.EndpointState.ACTIVE && m.build() == (trial ? 2 : 1);
            }
        };
    }

    private void offered(FrontTestRig rig) throws Exception {
        rig.load();
        answered(rig, 50);
        rig.befall("what = offer\nbuild = 2\n");
        FrontTestRig.await(
                "the trial gets traffic", () -> rig.count(TrafficRecord.Arrived.class, a -> a.build() == 2) > 120);
    }

    @Test
    void exposureOverTheCap() throws Exception {
        // all keys, always to the same build, and never an effect in the guarded stage
        try (FrontTestRig rig = rig("", () -> new RuleBreakingDecider() {
            @Override
            boolean uses(EndpointEntry m, Event.RequestReceived r) {
                boolean trial =
                        r.partitionKey() != null && machines.values().stream().anyMatch(o -> o.build() == 2);
                return m.state() == Event.EndpointState.ACTIVE
                        && (trial ? m.build() == 2 && r.route() == 0 : m.build() == 1);
            }
        })) {
            offered(rig);
            only(rig, 5, "tries at build 2");
        }
    }

    @Test
    void exposureOfTheSecondReleaseAloneOverItsCap() throws Exception {
        // of two builds on trial the first has a sixteenth of a route's keys, the second the most; the cap is a fifth
        try (FrontTestRig rig = rig("", () -> new RuleBreakingDecider() {
            @Override
            boolean uses(EndpointEntry m, Event.RequestReceived r) {
                int slice = r.partitionKey() == null || r.route() != 0
                        ? 0
                        : Math.floorMod(r.partitionKey().hashCode(), 16);
                int wanted = slice == 1 ? 2 : slice > 1 ? 3 : 1;
                boolean there = machines.values().stream().anyMatch(o -> o.build() == wanted);
                return m.state() == Event.EndpointState.ACTIVE && m.build() == (there ? wanted : 1);
            }
        })) {
            rig.load();
            answered(rig, 50);
            rig.befall("what = offer\nbuild = 2\n");
            rig.befall("what = offer\nbuild = 3\n");
            FrontTestRig.await(
                    "both have traffic",
                    () -> rig.count(TrafficRecord.Arrived.class, a -> a.build() == 2) > 5
                            && rig.count(TrafficRecord.Arrived.class, a -> a.build() == 3) > 120);
            assertTrue(only(rig, 5, "tries at build 3").stream()
                    .noneMatch(b -> b.what().contains("tries at build 2")));
        }
    }

    @Test
    void aKeyThatWentBack() throws Exception {
        try (FrontTestRig rig = rig("", () -> either(8))) {
            offered(rig);
            only(rig, 5, "was not sent back");
        }
    }

    @Test
    void aGuardedStage() throws Exception {
        try (FrontTestRig rig = rig("", () -> new RuleBreakingDecider() {
            @Override
            boolean uses(EndpointEntry m, Event.RequestReceived r) {
                boolean trial = r.partitionKey() == null
                        && turn % 12 == 0
                        && machines.values().stream().anyMatch(o -> o.build() == 2);
                return m.state() == Event.EndpointState.ACTIVE && m.build() == (trial ? 2 : 1);
            }
        })) {
            rig.load();
            answered(rig, 50);
            rig.befall("what = offer\nbuild = 2\n");
            FrontTestRig.await("a guarded one", () -> rig.count(TrafficRecord.Arrived.class, a -> a.build() == 2) > 8);
            only(rig, 5, "in guarded stage");
        }
    }
}

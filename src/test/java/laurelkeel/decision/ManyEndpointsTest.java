package laurelkeel.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Settings;
import org.junit.jupiter.api.Test;

/** A front in front of far more machines than its traffic needs. */
class ManyEndpointsTest {
    private static final int MACHINES = 1_000;
    private static final long ANSWER = 20 * 10;

    private final DecisionSimulation play =
            new DecisionSimulation(DecisionSimulation.settings(false, 0, Settings.PromotionPolicy.VOTE_COUNT), 1);

    /** Requests one after the other, each served; the machines that were asked. */
    private Set<String> asked(int requests, long answer) {
        Set<String> machines = new HashSet<>();
        for (int i = 0; i < requests; i++) {
            DecisionSimulation.Sent sent = play.outOf(play.req(0, null));
            assertNotNull(sent);
            machines.add(sent.machine());
            play.pass(answer);
            play.ends(sent, AttemptOutcome.COMPLETED);
        }
        return machines;
    }

    @Test
    void itAsksNoMoreMachinesThanItsTrafficNeeds() {
        play.begin(MACHINES);
        int machines = asked(600, ANSWER).size();
        assertTrue(machines <= 64, "asked " + machines);
        assertEquals(java.util.List.of(), play.broken);
    }

    @Test
    void itAsksMoreWhileAnswersWait() {
        play.begin(MACHINES);
        asked(300, ANSWER);
        int machines = asked(100, 12 * ANSWER).size();
        assertTrue(machines > 90, "asked " + machines);
    }

    @Test
    void whereMostOfItsMachinesFailItAsksTheOthers() {
        play.begin(MACHINES);
        Set<String> failing = asked(600, ANSWER);
        int served = 0;
        int tries = 0;
        for (int i = 0; i < 1_000; i++) {
            DecisionSimulation.Sent sent = play.outOf(play.req(0, null));
            while (sent != null) {
                tries++;
                play.pass(ANSWER);
                boolean fails = failing.contains(sent.machine());
                served += fails ? 0 : 1;
                play.ends(sent, fails ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.COMPLETED);
                sent = play.outOf(sent.req());
            }
        }
        assertTrue(served > 850, "served " + served + " of 1,000 in " + tries + " tries");
        assertEquals(java.util.List.of(), play.broken);
    }
}

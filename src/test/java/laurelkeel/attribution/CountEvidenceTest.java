package laurelkeel.attribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

class CountEvidenceTest {
    private final Random random = new Random(4);

    private static void runSeconds(CountEvidence evidence, int seconds, int nodes, ContingencyTable table) {
        for (int second = 0; second < seconds; second++) {
            evidence.beginSecond(nodes);
            for (int node = 0; node < nodes; node++) {
                evidence.add(node, 0, table);
            }
        }
    }

    @Test
    void repeatedEvaluationRarelySuspectsBuildsThatAreNoWorse() {
        int suspected = 0;
        for (int run = 0; run < 60; run++) {
            CountEvidence evidence = new CountEvidence(1);
            double largest = 0;
            for (int second = 0; second < 100; second++) {
                evidence.beginSecond(1);
                int totalBadAttempts = 0;
                int badAttempts = 0;
                for (int i = 0; i < 100; i++) {
                    boolean isBad = random.nextInt(20) == 0;
                    totalBadAttempts += isBad ? 1 : 0;
                    badAttempts += isBad && i < 10 ? 1 : 0;
                }
                evidence.add(0, 0, new ContingencyTable(badAttempts, 10, totalBadAttempts, 100));
                largest = Math.max(largest, evidence.logEValue());
            }
            suspected += largest > Math.log(20) ? 1 : 0;
        }
        // by Ville's inequality, the probability that the e-value of a run ever exceeds 20 is at most 1 in 20
        assertTrue(suspected <= 6, suspected + " suspected");
    }

    @Test
    void withoutBadAttemptsThereIsNoEvidence() {
        CountEvidence evidence = new CountEvidence(2);
        runSeconds(evidence, 20, 2, new ContingencyTable(0, 10, 0, 100));
        assertEquals(0, evidence.logEValue());
    }

    @Test
    void aGoodPastDoesNotHideABuildThatBecomesBadLater() {
        CountEvidence evidence = new CountEvidence(1);
        runSeconds(evidence, 200, 2, new ContingencyTable(0, 50, 5, 100));
        assertTrue(evidence.logEValue() < Math.log(20), "log e-value " + evidence.logEValue());
        runSeconds(evidence, 20, 2, new ContingencyTable(5, 50, 5, 100));
        assertTrue(evidence.logEValue() > Math.log(500), "log e-value " + evidence.logEValue());
    }

    @Test
    void withFourNodesTheOneWithTheStrongestEvidenceIsExcluded() {
        for (int nodes : new int[] {3, 4}) {
            CountEvidence evidence = new CountEvidence(1);
            for (int second = 0; second < 20; second++) {
                evidence.beginSecond(nodes);
                evidence.add(0, 0, new ContingencyTable(5, 10, 5, 100));
            }
            assertEquals(nodes < 4, evidence.logEValue() > Math.log(500), nodes + " nodes");
        }
    }
}

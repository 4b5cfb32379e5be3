package laurelkeel.decision;

import static laurelkeel.decision.DecisionFixtures.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import laurelkeel.api.Settings;
import org.junit.jupiter.api.Test;

class OwnThroughputTest {
    private static void recordAnswers(OwnThroughput throughput, int perSecond, int seconds) {
        for (int tenth = 0; tenth <= 10 * seconds; tenth++) {
            throughput.update((tenth + 1) * SECOND / 10);
            for (int i = 0; i < perSecond / 10; i++) {
                throughput.attemptCompleted();
            }
        }
    }

    @Test
    void theRateIsAMeanOverAboutTenSeconds() {
        OwnThroughput throughput = new OwnThroughput(1);
        recordAnswers(throughput, 200, 60);
        assertEquals(200, throughput.answersPerSecond(), 5);
    }

    @Test
    void theInitialRateHasTheWeightOfThreeSecondsOfAnswers() {
        OwnThroughput throughput = new OwnThroughput(100);
        recordAnswers(throughput, 0, 1);
        assertTrue(throughput.answersPerSecond() > 60, "" + throughput.answersPerSecond());
    }

    @Test
    void expectedAnswersAreProportionalToCapacity() {
        OwnThroughput throughput = new OwnThroughput(100);
        throughput.observeCapacity(20);
        assertEquals(20, throughput.expectedAnswers(2, 2 * SECOND), 1e-9);
    }

    @Test
    void lostCapacityDecaysSlowly() {
        OwnThroughput throughput = new OwnThroughput(100);
        throughput.observeCapacity(20);
        throughput.observeCapacity(1);
        assertEquals(
                20, throughput.expectedAnswers(2, 2 * SECOND), 0.01, "the removed endpoints gave most of the answers");
        for (int i = 0; i < 100_000; i++) {
            throughput.observeCapacity(1);
        }
        assertEquals(400, throughput.expectedAnswers(2, 2 * SECOND), 1e-9);
    }

    @Test
    void theInitialRateIsOneWithoutQuotas() {
        Settings settings = DecisionSimulation.settings(false, 0, Settings.PromotionPolicy.FIRST_VOTE);
        assertEquals(1, OwnThroughput.assumedAnswersPerSecond(settings), "no tenant has a quota");
    }
}

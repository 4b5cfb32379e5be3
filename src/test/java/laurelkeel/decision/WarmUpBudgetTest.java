package laurelkeel.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class WarmUpBudgetTest {
    @Test
    void aFractionalLimitAllowsAnAttemptOnThatShareOfTheNodes() {
        int allowed = 0;
        for (int seed = 0; seed < 1_000; seed++) {
            WarmUpBudget budget = new WarmUpBudget();
            budget.renewRounding(new SeededRandom(seed), 100, 0);
            allowed += budget.isExhausted(0.3, 0) ? 0 : 1;
        }
        assertEquals(300, allowed, 50);
    }

    @Test
    void attemptsBeforeTheWindowDoNotCount() {
        WarmUpBudget budget = new WarmUpBudget();
        budget.attemptPlanned(10);
        assertTrue(budget.isExhausted(1, 10));
        assertFalse(budget.isExhausted(1, 11));
    }

    @Test
    void aRoundingIsValidForOneWindow() {
        WarmUpBudget budget = new WarmUpBudget();
        assertTrue(budget.isRoundingExpired(0));
        budget.renewRounding(new SeededRandom(1), 100, 50);
        assertFalse(budget.isRoundingExpired(149));
        assertTrue(budget.isRoundingExpired(150));
    }
}

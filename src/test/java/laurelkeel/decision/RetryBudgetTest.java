package laurelkeel.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RetryBudgetTest {
    private final RetryBudget budget = new RetryBudget();

    private int spendAll() {
        int spent = 0;
        while (budget.allows(1)) {
            budget.spend();
            spent++;
        }
        return spent;
    }

    @Test
    void theBudgetStartsWithTenRetries() {
        assertTrue(budget.allows(10));
        assertFalse(budget.allows(11));
        assertEquals(10, spendAll());
    }

    @Test
    void fiveRequestsAddOneRetry() {
        spendAll();
        for (int i = 0; i < 50; i++) {
            budget.requestReceived();
        }
        int spent = spendAll();
        assertTrue(spent == 9 || spent == 10, "up to rounding: " + spent);
    }

    @Test
    void theBudgetNeverExceedsItsInitialSize() {
        for (int i = 0; i < 1_000; i++) {
            budget.requestReceived();
        }
        assertEquals(10, spendAll());
    }
}

package laurelkeel.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SocketBudgetTest {
    @Test
    void theDescriptorsAreDividedBetweenClientsAndEndpoints() {
        assertEquals(new SocketBudget(429, 107, 440), SocketBudget.of(1024));
        assertEquals(new SocketBudget(91, 22, 95), SocketBudget.of(256));
    }

    @Test
    void bothSidesHaveAMinimumOfConnections() {
        assertEquals(new SocketBudget(8, 2, 8), SocketBudget.of(1));
        assertEquals(new SocketBudget(8, 2, 8), SocketBudget.of(64));
    }

    @Test
    void theBudgetNeverExceedsTheDescriptors() {
        for (int descriptors = 80; descriptors < 5_000; descriptors++) {
            SocketBudget budget = SocketBudget.of(descriptors);
            int used = budget.clientConnections() + budget.spareClientConnections() + budget.endpointConnections();
            assertTrue(used <= descriptors - 48, descriptors + " descriptors: " + budget);
        }
    }
}

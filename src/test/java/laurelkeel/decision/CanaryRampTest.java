package laurelkeel.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class CanaryRampTest {
    private final CanaryRamp ramp = new CanaryRamp();

    @Test
    void raisesTheThresholdToAShareOfTheCap() {
        ramp.observe(2, 10);
        ramp.raise(0.5, 10, 10);
        assertEquals(0.4, ramp.threshold(), 1e-9);
    }

    @Test
    void raisesTheThresholdWithTheCapacityOfTheCanary() {
        ramp.observe(2, 10);
        ramp.raise(1, 1, 10);
        assertEquals(0.125, ramp.threshold(), 1e-9);
        ramp.raise(1, 4, 10);
        assertEquals(0.5, ramp.threshold(), 1e-9);
    }

    @Test
    void raisesTheThresholdToTheCapIfTheStableBuildLosesCapacity() {
        ramp.observe(2, 10);
        ramp.raise(0.5, 3, 1);
        assertEquals(0.5, ramp.threshold(), 1e-9);
    }

    @Test
    void neverLowersTheThresholdDuringARollout() {
        ramp.observe(2, 10);
        ramp.raise(0.5, 10, 10);
        ramp.observe(2, 10);
        ramp.raise(0.1, 1, 10);
        assertEquals(0.4, ramp.threshold(), 1e-9);
    }

    @Test
    void resetsTheThresholdForAnotherCanary() {
        ramp.observe(2, 10);
        ramp.raise(0.5, 10, 10);
        ramp.observe(3, 5);
        assertEquals(0, ramp.threshold());
        ramp.raise(1, 1, 5);
        assertEquals(0.25, ramp.threshold(), 1e-9, "relative to the capacity before its own rollout");
    }
}

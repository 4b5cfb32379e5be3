package laurelkeel.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class AttributionScenarioTest {
    /** The figures of earlier tables can only be compared where the days stay the same. */
    @Test
    void aSeedGivesTheDayThatItAlwaysGave() {
        assertEquals(
                new AttributionScenario.Result(
                        ReleaseFault.TOGETHER, true, false, 12.0, 49, true, false, true, false, 0),
                new AttributionScenario(25, ReleaseFault.TOGETHER).play());
    }
}

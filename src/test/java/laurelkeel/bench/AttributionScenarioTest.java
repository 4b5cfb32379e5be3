package laurelkeel.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class AttributionScenarioTest {
    /**
     * Guards against a change of the generated days: results can be compared with those of earlier versions only if a
     * seed still gives the same day.
     */
    @Test
    void aSeedGivesTheRecordedResult() {
        assertEquals(
                new AttributionScenario.Result(
                        ReleaseFault.TOGETHER, true, false, 12.0, 49, true, false, true, false, 0),
                new AttributionScenario(25, ReleaseFault.TOGETHER).run());
    }
}

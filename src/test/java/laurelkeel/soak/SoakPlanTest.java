package laurelkeel.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class SoakPlanTest {
    /** A seed from a report of an earlier version must reproduce the same plan. */
    @Test
    void aSeedGivesTheSamePlanInEachVersion() {
        assertEquals(
                "clock 5168:-3600000,7155:5000, calls socket:105:1593:607:30, "
                        + "0: 0.5 s NEW_CONFIGURATIONS n0, 1: 2.0 s NEW_CONFIGURATIONS n1, "
                        + "2: 2.5 s NEW_CONFIGURATIONS n1, 3: 3.5 s DISCOVERY_SPOILT n2, 4: 5.7 s SERVER_HANGS n2, "
                        + "5: 6.5 s CROWD n0, 6: 7.9 s DISCOVERY_SILENT n1, 7: 10.0 s DISCOVERY_SILENT n2",
                SoakPlan.generate(11, 0, 10).toString());
    }

    @Test
    void eventsAreSpreadOverTheRun() {
        List<PlannedEvent> events = SoakPlan.generate(1, 0, 60).events();
        assertEquals(0.5, events.get(0).atSeconds());
        for (int i = 1; i < events.size(); i++) {
            double pause = events.get(i).atSeconds() - events.get(i - 1).atSeconds();
            assertEquals(1.2, pause, 1.0);
        }
    }
}

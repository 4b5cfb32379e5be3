package laurelkeel.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import laurelkeel.config.IniFile;
import laurelkeel.config.InvalidSettingsException;
import org.junit.jupiter.api.Test;

class ScenarioReaderTest {
    private static final String MINIMAL =
            """
            [day]
            fronts = 2
            [route look]
            path = /look
            effect = retriable
            objective = 300 ms
            timeout = 2 s
            [work]
            look = 8 ms
            [rollout]
            stage-caps = 0.3, 1
            [line]
            shares = 0.4, 1
            [build 2]
            failing = 0.5
            """;

    private static Scenario read(String more) throws InvalidSettingsException {
        return Scenario.read(IniFile.parse("small.ini", MINIMAL + more), "small");
    }

    @Test
    void omittedSettingsHaveTheirDefaults() throws InvalidSettingsException {
        Scenario scenario = read("");
        assertEquals(600_000, scenario.durationTicks());
        assertEquals(12, scenario.serverCount());
        assertEquals(200, scenario.loadProfile().requestsPerSecond());
        assertEquals(0.5, scenario.builds().get(2).failureShares().get("look"));
        assertTrue(scenario.faults().isEmpty());
    }

    @Test
    void faultKindsAreReadByTheirSettingNames() throws InvalidSettingsException {
        List<String> names = List.of(
                "crash",
                "hang",
                "slow",
                "lose-answers",
                "reset",
                "half",
                "refuse",
                "drain",
                "slow-all",
                "list-stale",
                "list-down",
                "line-stall",
                "line-late",
                "kill-front",
                "stop-front",
                "burst",
                "shift",
                "hot-key");
        for (String name : names) {
            boolean hasNoDuration =
                    List.of("crash", "drain", "kill-front", "stop-front").contains(name);
            Scenario scenario =
                    read("[event e]\nat = 1 s\nwhat = " + name + "\n" + (hasNoDuration ? "" : "for = 500 ms\n"));
            ScenarioFault fault = scenario.faults().get(0);
            assertEquals("e (" + name + ")", fault.toString());
            assertEquals(10_000, fault.startTicks());
            if (!hasNoDuration) {
                assertEquals(5_000, fault.durationTicks());
            }
        }
    }

    @Test
    void faultsAreSortedByTime() throws InvalidSettingsException {
        Scenario scenario = read("[event b]\nat = 2 s\nwhat = drain\n[event a]\nat = 1 s\nwhat = offer\nbuild = 2\n");
        assertEquals(
                List.of("a (offer)", "b (drain)"),
                scenario.faults().stream().map(ScenarioFault::toString).toList());
    }

    @Test
    void errorsNameTheSetting() {
        InvalidSettingsException unknownBuild = assertThrows(
                InvalidSettingsException.class, () -> read("[event a]\nat = 1 s\nwhat = offer\nbuild = 3\n"));
        assertTrue(unknownBuild.getMessage().contains("add a section [build 3]"), unknownBuild.getMessage());
        InvalidSettingsException unknownKind =
                assertThrows(InvalidSettingsException.class, () -> read("[event a]\nat = 1 s\nwhat = explode\n"));
        assertTrue(
                unknownKind.getMessage().contains("one of offer, crash, hang, slow, lose-answers"),
                unknownKind.getMessage());
    }
}

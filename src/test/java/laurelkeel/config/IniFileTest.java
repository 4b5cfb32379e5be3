package laurelkeel.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import laurelkeel.front.FrontSettings;
import laurelkeel.scenario.Scenario;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class IniFileTest {
    @TempDir
    Path directory;

    private static final String VALID =
            """
            [front]
            number = 0
            fronts = 2
            listen = 127.0.0.1:0
            [route look]
            path = /look
            effect = retriable
            objective = 300 ms
            timeout = 2 s
            [rollout]
            stage-caps = 0.1, 1
            """;

    private List<String> errorsOf(String text) throws Exception {
        Path file = directory.resolve("f.ini");
        Files.writeString(file, text);
        return assertThrows(InvalidSettingsException.class, () -> FrontSettings.read(file)).errors().stream()
                .map(s -> s.substring(s.indexOf("f.ini")))
                .toList();
    }

    @Test
    void aValidFileIsReadWithItsUnits() throws Exception {
        Path file = directory.resolve("f.ini");
        Files.writeString(file, VALID);
        FrontSettings settings = FrontSettings.read(file);
        assertEquals(3000, settings.decisionSettings().routes().get(0).latencyObjectiveTicks());
        assertEquals(List.of(0.1, 1.0), settings.decisionSettings().rollout().stageExposureCaps());
        assertEquals(directory.resolve("state"), settings.stateDirectory());
    }

    @Test
    void eachErrorNamesItsLineAndRemedy() throws Exception {
        for (String[] replacement : new String[][] {
            {"timeout = 2 s", "timeout = 2", "f.ini:9: 'timeout' is '2'; write a time with its unit"},
            {"timeout = 2 s", "timeuot = 2 s", "f.ini:9: 'timeuot' is unknown in [route look]; did you mean 'timeout'?"
            },
            {"timeout = 2 s", "", "f.ini:5: 'timeout' is missing in [route look]; add a line"},
            {"timeout = 2 s", "timeout = 100 ms", "f.ini:8: 'objective' is longer than the route's timeout"},
            {"effect = retriable", "effect = safe", "write one of retriable, deduped, non-retriable"},
            {"effect = retriable", "effect = deduped", "'repeat-window' is missing"},
            {"path = /look", "path = look", "f.ini:6: 'path' is 'look'; write a prefix that begins with /"},
            {"number = 0", "number = 2", "f.ini:2: 'number' is 2, but fronts is 2; numbers begin at 0"},
            {"number = 0", "number = 0\nnumber = 1", "f.ini:3: 'number' is already set on line 2; keep only one"},
            {"listen = 127.0.0.1:0", "listen = 8080", "write host:port"},
            {"[rollout]", "[rolout]", "section [rolout] is unknown; did you mean 'rollout'?"},
            {"[rollout]", "[rollout", "'[rollout' is not a section header; write [name]"},
            {"stage-caps = 0.1, 1", "stage-caps = 0.1, 7", "write numbers from 0.0 to 1.0"},
            {"stage-caps = 0.1, 1", "what is this", "is not a [section], a key = value pair or a comment"}
        }) {
            List<String> errors = errorsOf(VALID.replace(replacement[0], replacement[1]));
            assertTrue(errors.stream().anyMatch(s -> s.contains(replacement[2])), replacement[1] + " -> " + errors);
        }
    }

    @Test
    void allErrorsAreListedInTheOrderOfTheirLines() throws Exception {
        List<String> errors = errorsOf(VALID.replace("number = 0", "number = x")
                .replace("retriable", "safe")
                .replace("0.1, 1", "one"));
        assertEquals(3, errors.size(), errors.toString());
        assertTrue(errors.get(0).startsWith("f.ini:2")
                && errors.get(1).startsWith("f.ini:7")
                && errors.get(2).startsWith("f.ini:11"));
    }

    @Test
    void shippedScenariosAreValidAndErrorsInOthersAreReported() throws Exception {
        for (String scenario : Scenario.SHIPPED) {
            assertTrue(Scenario.find(scenario).faults().size() > 2);
        }
        InvalidSettingsException e = assertThrows(
                InvalidSettingsException.class,
                () -> Scenario.find(directory.resolve("none.ini").toString()));
        assertTrue(e.getMessage().contains("none.ini: no such file"));
        e = assertThrows(
                InvalidSettingsException.class,
                () -> Scenario.read(
                        IniFile.parse(
                                "d.ini",
                                VALID.replace("[front]", "[day]").replaceAll("number.*\nfronts.*\nlisten.*\n", "")
                                        + "[work]\nlook = 5 ms\n[line]\nshares = 1\n"
                                        + "[event e]\nat = 3 s\nwhat = offer\nbuild = 9\n"),
                        "d"));
        assertTrue(e.getMessage().contains("'shares' has 1 stages and stage-caps of [rollout] has 2"), e.getMessage());
        assertTrue(e.getMessage().contains("add a section [build 9]"), e.getMessage());
    }
}

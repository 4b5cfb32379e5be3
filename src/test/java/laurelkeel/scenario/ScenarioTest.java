package laurelkeel.scenario;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Path;
import laurelkeel.audit.AuditReport;
import laurelkeel.config.IniFile;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs small scenarios with real node processes; in every run the audit must find all rules kept. */
class ScenarioTest {
    @TempDir
    Path folder;

    private static final String SMALL =
            """
            [day]
            length = 10 s
            fronts = 3
            machines = 6
            zones = a, b
            [route look]
            path = /look
            effect = retriable
            objective = 300 ms
            timeout = 2 s
            [route pay]
            path = /pay
            method = POST
            effect = non-retriable
            objective = 400 ms
            timeout = 2 s
            [route note]
            path = /note
            method = POST
            effect = deduped
            repeat-window = 3 s
            objective = 400 ms
            timeout = 2 s
            [work]
            look = 8 ms
            pay = 10 ms
            note = 10 ms
            [rollout]
            control = any
            stage-caps = 0.3, 1
            window = 2 s
            least-stage = 500 ms
            [line]
            shares = 0.4, 1
            start-time = 300 ms
            news-lag = 100 ms
            [limits]
            cold-for = 2 s
            [load]
            rate = 120
            keys = 300
            leave-early = 0.05
            """;

    private AuditReport run(String moreSections) throws Exception {
        return run("", moreSections);
    }

    /** @param rolloutSettings additional settings of the rollout service */
    private AuditReport run(String rolloutSettings, String moreSections) throws Exception {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        AuditReport report = new ScenarioRun(
                        Scenario.read(
                                IniFile.parse(
                                        "small.ini",
                                        SMALL.replace("[line]\n", "[line]\n" + rolloutSettings) + moreSections),
                                "small"),
                        5,
                        folder,
                        new PrintStream(output))
                .run();
        assertEquals(5, report.rulesKept(), output.toString(UTF_8));
        assertEquals(0, report.unansweredCount(), output.toString(UTF_8));
        assertTrue(report.requestCount() > 300, output.toString(UTF_8));
        assertTrue(output.toString(UTF_8).strip().endsWith(", unanswered 0"), output.toString(UTF_8));
        return report;
    }

    @Test
    void rulesAreKeptWithKilledNodeFailingBuildAndCrashedServers() throws Exception {
        run(
                """
                [build 2]
                failing = 0.5
                [event offer]
                at = 500 ms
                what = offer
                build = 2
                [event kill]
                at = 4 s
                what = kill-front
                front = 1
                back-after = 500 ms
                [event crash]
                at = 5 s
                what = crash
                machines = 2
                back-after = 1 s
                [event drain]
                at = 6 s
                what = drain
                """);
    }

    @Test
    void rulesAreKeptWithLostResponsesStalledRolloutServiceAndStoppedNode() throws Exception {
        run(
                """
                [build 2]
                work = 1
                [event lost]
                at = 200 ms
                what = lose-answers
                machines = 2
                for = 3 s
                [event offer]
                at = 1 s
                what = offer
                build = 2
                [event stall]
                at = 2 s
                what = line-stall
                for = 2 s
                [event list]
                at = 3 s
                what = list-down
                for = 2 s
                [event stop]
                at = 5 s
                what = stop-front
                front = 2
                back-after = 1 s
                [event half]
                at = 6 s
                what = half
                for = 1 s
                [event reset]
                at = 7 s
                what = reset
                for = 1 s
                [event refuse]
                at = 8 s
                what = refuse
                for = 1 s
                """);
    }

    @Test
    void rulesAreKeptWithTwoRolloutsOfWhichOneFails() throws Exception {
        run(
                "together = 2\n",
                """
                [build 2]
                work = 1
                [build 3]
                failing = 0.5
                [event first]
                at = 500 ms
                what = offer
                build = 2
                [event second]
                at = 1 s
                what = offer
                build = 3
                [event crash]
                at = 3 s
                what = crash
                machines = 2
                back-after = 1 s
                [event kill]
                at = 5 s
                what = kill-front
                front = 0
                back-after = 500 ms
                """);
    }
}

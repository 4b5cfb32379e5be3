package laurelkeel.cli;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Findings are parsed from JSON and printed as a table, with the evidence below it. */
class AttributionPrinterTest {
    private static final String FINDINGS_JSON =
            """
            {"findings":[{"build":3,"verdict":"NOT_YET_KNOWN","probability":0.25,"kind":"HARMS_ALL","effect":1.5,"low":1.0,
             "high":2.25,"evidence":"all slow down","considered":["no burst"],"hold":true,"setAside":false,
             "afterSeconds":12}],"reportsDoubled":1,"reportsLate":2,"cellsUnsound":3,"beyondBounds":4}""";

    private static String print(AttributionSummary report) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        new AttributionPrinter(new PrintStream(bytes, true, UTF_8)).print(report);
        return bytes.toString(UTF_8).replace(System.lineSeparator(), "\n");
    }

    @Test
    void printsAFindingAsARowAndItsEvidence() throws Exception {
        assertEquals(
                """
                build   verdict        probability  evidence   effect (95%)             rollout age
                3       not yet known  0.250        harms all  1.500 (1.000 to 2.250)   12 s

                all slow down (promotion held)
                  considered: no burst

                reports omitted: 1 duplicate, 2 late; cells omitted: 3 invalid, 4 over the limit
                """,
                print(AttributionSummary.parse(FINDINGS_JSON)));
    }

    @Test
    void missingFieldsAreEmpty() throws Exception {
        assertEquals(new AttributionSummary(List.of(), 0, 0, 0, 0), AttributionSummary.parse("{}"));
    }
}

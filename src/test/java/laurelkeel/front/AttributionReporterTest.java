package laurelkeel.front;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import laurelkeel.api.Event;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.api.Settings;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class AttributionReporterTest {
    private static final String ENDPOINT = "10.0.0.1:80";
    private static final long SECOND_TICKS = 10_000;

    @TempDir
    Path directory;

    private final List<AttributionReport> reports = new ArrayList<>();
    private AttributionReporter reporter;

    @BeforeEach
    void createReporter() throws Exception {
        Path file = directory.resolve("front.ini");
        Files.writeString(file, FrontTestPeers.SETTINGS.formatted(""));
        Settings settings = FrontSettings.read(file).decisionSettings();
        reporter = new AttributionReporter(settings, "life", reports::add);
        reporter.onEndpoints(new Event.EndpointListUpdate(
                EndpointListKind.SNAPSHOT,
                List.of(new Event.EndpointEntry(ENDPOINT, 4, 0, 0, 0, 1, EndpointState.ACTIVE, 0))));
    }

    private static ResponseReferences.Origin attempt(String endpointId, long sentAtTicks) {
        return new ResponseReferences.Origin(endpointId, sentAtTicks, 1, 0);
    }

    private void endAttempt(long sentAtTicks, AttemptOutcome outcome) {
        reporter.onAttemptEnded(attempt(ENDPOINT, sentAtTicks), sentAtTicks + 100, outcome);
    }

    /** Returns the report in its JSON form. */
    private JsonNode json(AttributionReport report) throws Exception {
        ObjectMapper mapper = new ObjectMapper();
        return mapper.readTree(mapper.writeValueAsString(report));
    }

    @Test
    void aReportHasTheDocumentedJsonFieldNames() throws Exception {
        endAttempt(5 * SECOND_TICKS, AttemptOutcome.COMPLETED);
        endAttempt(5 * SECOND_TICKS + 1, AttemptOutcome.FAILED);
        endAttempt(5 * SECOND_TICKS + 2, AttemptOutcome.TIMED_OUT);
        reporter.onComplaint(attempt(ENDPOINT, 5 * SECOND_TICKS));
        reporter.report(8 * SECOND_TICKS);
        JsonNode report = json(reports.get(0));
        assertEquals(List.of("front", "life", "second", "agoMs", "cells"), List.copyOf(fieldNames(report)));
        assertEquals(
                "0 life 5 2000.0",
                report.get("front") + " " + report.get("life").asText() + " " + report.get("second") + " "
                        + report.get("agoMs"));
        JsonNode cell = report.get("cells").get(0);
        assertEquals(
                List.of(
                        "build",
                        "route",
                        "machine",
                        "customer",
                        "tries",
                        "fails",
                        "silent",
                        "wrongs",
                        "rated",
                        "logTime",
                        "logSquare"),
                fieldNames(cell));
        assertEquals(
                "4 1 \"10.0.0.1:80\" 0 3 1 1 1 1",
                String.join(
                        " ",
                        fieldNames(cell).subList(0, 9).stream()
                                .map(name -> cell.get(name).toString())
                                .toList()));
        assertEquals(Math.log(10), cell.get("logTime").asDouble(), 1e-9);
    }

    private static List<String> fieldNames(JsonNode node) {
        List<String> names = new ArrayList<>();
        node.fieldNames().forEachRemaining(names::add);
        return names;
    }

    @Test
    void aSecondIsReportedOnceItsGracePeriodIsOver() {
        endAttempt(5 * SECOND_TICKS, AttemptOutcome.COMPLETED);
        reporter.report(8 * SECOND_TICKS - 1);
        assertEquals(0, reports.size());
        reporter.report(8 * SECOND_TICKS);
        reporter.report(9 * SECOND_TICKS);
        assertEquals(1, reports.size());
    }

    @Test
    void lateAttemptsAndAttemptsAtUnknownEndpointsAreNotReported() {
        endAttempt(5 * SECOND_TICKS, AttemptOutcome.COMPLETED);
        reporter.report(8 * SECOND_TICKS);
        endAttempt(5 * SECOND_TICKS + 1, AttemptOutcome.COMPLETED);
        reporter.onAttemptEnded(attempt("10.0.0.9:80", 9 * SECOND_TICKS), 9 * SECOND_TICKS, AttemptOutcome.COMPLETED);
        assertEquals(2, reporter.uncounted());
    }

    @Test
    void outcomesWithoutInformationAboutTheBuildAreIgnored() {
        for (AttemptOutcome outcome :
                List.of(AttemptOutcome.OVERLOADED, AttemptOutcome.CANCELLED, AttemptOutcome.NOT_SENT)) {
            endAttempt(5 * SECOND_TICKS, outcome);
        }
        reporter.report(8 * SECOND_TICKS);
        assertEquals(0, reports.size());
        assertEquals(0, reporter.uncounted());
    }

    @Test
    void complaintsNeverExceedAttempts() {
        endAttempt(5 * SECOND_TICKS, AttemptOutcome.COMPLETED);
        reporter.onComplaint(attempt(ENDPOINT, 5 * SECOND_TICKS));
        reporter.onComplaint(attempt(ENDPOINT, 5 * SECOND_TICKS));
        reporter.report(8 * SECOND_TICKS);
        assertEquals(1, reports.get(0).cells().get(0).complaints());
    }
}

package laurelkeel.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import laurelkeel.api.LoadReport;
import org.junit.jupiter.api.Test;

class LoadReportParserTest {
    @Test
    void valuesAreRenamedToTheNamesOfTheSettings() {
        assertEquals(
                new LoadReport(Map.of(
                        "concurrent",
                        7.0,
                        "depth",
                        2.0,
                        "load_share",
                        0.61,
                        "mean_ms",
                        8.5,
                        "tps",
                        90.0,
                        "err_ps",
                        1.0)),
                LoadReportParser.parse(
                        "{\"inflight\":7,\"queue\":2,\"util\":0.61,\"latency_ms\":8.5,\"qps\":90,\"eps\":1}"));
    }

    @Test
    void otherNumbersKeepTheirNamesAndOtherValuesAreIgnored() {
        assertEquals(
                new LoadReport(Map.of("other", 1.0)),
                LoadReportParser.parse("{\"other\":1,\"text\":\"2\",\"flag\":true,\"object\":{\"inflight\":3}}"));
    }

    @Test
    void aReportThatIsMissingOrMalformedIsEmpty() {
        assertEquals(LoadReport.NONE, LoadReportParser.parse(null));
        assertEquals(LoadReport.NONE, LoadReportParser.parse("{\"inflight\":"));
        assertEquals(LoadReport.NONE, LoadReportParser.parse("7"));
    }
}

package laurelkeel.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import laurelkeel.api.LoadReport;

/** Load reports, by the names that the decider knows their values under. One that cannot be read is none. */
final class LoadReportParser {
    private static final Map<String, String> NAMES = Map.of(
            "inflight",
            "concurrent",
            "queue",
            "depth",
            "util",
            "load_share",
            "latency_ms",
            "mean_ms",
            "qps",
            "tps",
            "eps",
            "err_ps");

    private LoadReportParser() {}

    static LoadReport read(String told) {
        if (told == null) {
            return LoadReport.NONE;
        }
        try {
            JsonNode all = NodeConfiguration.JSON.readTree(told);
            Map<String, Double> out = new HashMap<>();
            all.properties().forEach(e -> {
                if (e.getValue().isNumber()) {
                    out.put(
                            NAMES.getOrDefault(e.getKey(), e.getKey()),
                            e.getValue().doubleValue());
                }
            });
            return new LoadReport(out);
        } catch (JsonProcessingException e) {
            return LoadReport.NONE;
        }
    }
}

package laurelkeel.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import laurelkeel.api.LoadReport;
import org.jspecify.annotations.Nullable;

/** Parses endpoints' load reports and translates the names of their values; thread-safe. */
final class LoadReportParser {
    /** The settings' name for each value by the platform's name. */
    private static final Map<String, String> VALUE_NAMES = Map.of(
            "inflight", "concurrent",
            "queue", "depth",
            "util", "load_share",
            "latency_ms", "mean_ms",
            "qps", "tps",
            "eps", "err_ps");

    private LoadReportParser() {}

    /**
     * Parses the value of the load report header.
     *
     * @param header a JSON object; null if the header is missing
     * @return the numbers of the object; empty if the header is missing or malformed
     */
    static LoadReport parse(@Nullable String header) {
        if (header == null) {
            return LoadReport.NONE;
        }
        try {
            Map<String, Double> values = new HashMap<>();
            for (Map.Entry<String, JsonNode> field :
                    Json.MAPPER.readTree(header).properties()) {
                if (field.getValue().isNumber()) {
                    String name = VALUE_NAMES.getOrDefault(field.getKey(), field.getKey());
                    values.put(name, field.getValue().doubleValue());
                }
            }
            return new LoadReport(values);
        } catch (JsonProcessingException e) {
            return LoadReport.NONE;
        }
    }
}

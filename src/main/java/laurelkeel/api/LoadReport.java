package laurelkeel.api;

import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * What an endpoint said of its own load beside an answer. Reports are delayed and noisy.
 *
 * @param values by the names of the simulator's load reports, to which each protocol maps its own; empty if the endpoint sent none
 */
public record LoadReport(Map<String, Double> values) {
    /** The report of an endpoint that sent none. */
    public static final LoadReport NONE = new LoadReport(Map.of());

    private static final String CONCURRENT_REQUESTS = "concurrent";

    /** How many requests the endpoint was serving, or null where it did not say. */
    public @Nullable Double concurrentRequests() {
        return values.get(CONCURRENT_REQUESTS);
    }
}

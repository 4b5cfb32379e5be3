package laurelkeel.api;

import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The load that an endpoint reported about itself along with an answer. Reports are delayed and noisy.
 *
 * @param values reported values by name. The names are those of the simulator's load reports, to which each protocol
 *     maps its own; empty if the endpoint sent none
 */
public record LoadReport(Map<String, Double> values) {
    /** Represents the report of an endpoint that sent none. */
    public static final LoadReport NONE = new LoadReport(Map.of());

    private static final String CONCURRENT_REQUESTS = "concurrent";

    /** Returns the number of requests that the endpoint was serving, or null if it did not report it. */
    public @Nullable Double concurrentRequests() {
        return values.get(CONCURRENT_REQUESTS);
    }
}

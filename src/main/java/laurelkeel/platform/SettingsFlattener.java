package laurelkeel.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;

/**
 * Flattens nested JSON settings to the options that {@link laurelkeel.options.OptionsParser} reads.
 *
 * <p>The names of nested fields are joined with dots. An array of objects or arrays becomes its length under {@code
 * count} and its items under 0, 1 and so on; an array of plain values is joined with commas. A null is omitted. Not
 * thread-safe.
 */
final class SettingsFlattener {
    private static final String LENGTH = "count";

    private final Map<String, String> options = new HashMap<>();

    private SettingsFlattener() {}

    /** Returns the value of each option by its path. */
    static Map<String, String> flatten(JsonNode settings) {
        SettingsFlattener flattener = new SettingsFlattener();
        flattener.add("", settings);
        return flattener.options;
    }

    private void add(String path, JsonNode value) {
        String prefix = path.isEmpty() ? "" : path + ".";
        if (value.isObject()) {
            value.properties().forEach(field -> add(prefix + field.getKey(), field.getValue()));
        } else if (value.isArray() && !value.isEmpty() && value.get(0).isContainerNode()) {
            options.put(prefix + LENGTH, Integer.toString(value.size()));
            for (int i = 0; i < value.size(); i++) {
                add(prefix + i, value.get(i));
            }
        } else if (value.isArray()) {
            options.put(path, joined(value));
        } else if (!value.isNull()) {
            options.put(path, value.asText());
        }
    }

    private static String joined(JsonNode list) {
        StringBuilder text = new StringBuilder();
        for (JsonNode item : list) {
            if (text.length() > 0) {
                text.append(',');
            }
            text.append(item.asText());
        }
        return text.toString();
    }
}

package laurelkeel.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import laurelkeel.api.Settings;
import laurelkeel.options.InvalidOptionException;
import laurelkeel.options.OptionsParser;

/**
 * What the platform tells a front node at its start, and again at each SIGHUP. Fields that are not known are passed
 * over; one that is missing or cannot be read is named.
 *
 * @param news the newest build's state; null where there is none
 * @param known the machine list as this node last had it; null where there is none
 * @param sockets descriptors that the process may hold
 */
public record NodeConfiguration(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress controlService,
        long seed,
        int maxSockets,
        JsonNode rolloutNews,
        JsonNode cachedEndpoints,
        Settings settings,
        OptionsParser.SocketOptions socketOptions) {
    static final ObjectMapper JSON = new ObjectMapper();

    /** @param env the environment, whose RELAY_NAME and RELAY_LISTEN stand for fields that the file lacks */
    public static NodeConfiguration read(Path file, Map<String, String> env) throws InvalidConfigurationException {
        try {
            return of(JSON.readTree(Files.readAllBytes(file)), env);
        } catch (JsonProcessingException e) {
            throw new InvalidConfigurationException(file + " is no JSON: " + e.getOriginalMessage());
        } catch (NoSuchFileException e) {
            throw new InvalidConfigurationException(file + " is not there; RELAY_CONFIG must name the configuration");
        } catch (IOException e) {
            throw new InvalidConfigurationException(file + " cannot be read: " + e.getMessage(), false);
        }
    }

    public static NodeConfiguration of(JsonNode all, Map<String, String> env) throws InvalidConfigurationException {
        if (all == null || !all.isObject()) {
            throw new InvalidConfigurationException("the configuration is no JSON object");
        }
        JsonNode settings = all.get("settings");
        if (settings == null || !settings.isObject()) {
            throw new InvalidConfigurationException("settings: is missing or no object");
        }
        Map<String, String> pairs = new HashMap<>();
        flatten("", settings, pairs);
        JsonNode sockets = all.path("limits").path("sockets");
        if (!sockets.isInt() || sockets.intValue() < 1) {
            throw new InvalidConfigurationException("limits.sockets: must be a whole number above 0");
        }
        JsonNode rollouts = all.path("rollouts");
        try {
            Settings set = OptionsParser.settings(pairs);
            if (set.routes().isEmpty()) {
                throw new InvalidConfigurationException("settings.services: names no route");
            }
            if (set.rollout().stageExposureCaps().isEmpty()) {
                throw new InvalidConfigurationException("settings.familyInfo.stageCap: is missing");
            }
            return new NodeConfiguration(
                    text(all, "name", env.get("RELAY_NAME")),
                    address("listen", text(all, "listen", env.get("RELAY_LISTEN"))),
                    address("discovery", text(all, "discovery", env.get("RELAY_DISCOVERY"))),
                    address("rollouts.address", rollouts.path("address").asText(null)),
                    seed(all.path("seed").asText("")),
                    sockets.intValue(),
                    object(rollouts.get("news")),
                    object(all.get("known")),
                    set,
                    OptionsParser.socketOptions(pairs));
        } catch (InvalidOptionException e) {
            throw new InvalidConfigurationException("settings." + e.getMessage());
        }
    }

    private static JsonNode object(JsonNode n) {
        return n == null || !n.isObject() ? null : n;
    }

    private static String text(JsonNode all, String field, String absent) throws InvalidConfigurationException {
        String s = all.path(field).asText(absent);
        if (s == null || s.isEmpty()) {
            throw new InvalidConfigurationException(field + ": is missing");
        }
        return s;
    }

    static InetSocketAddress address(String field, String s) throws InvalidConfigurationException {
        InetSocketAddress at = s == null ? null : Ipv4Addresses.of(s);
        if (at == null) {
            throw new InvalidConfigurationException(field + ": '" + s + "' is no address as 10.0.0.4:5000");
        }
        return at;
    }

    /** Any text is a seed; its hash serves where it is no number in hexadecimal digits. */
    private static long seed(String s) {
        try {
            return Long.parseUnsignedLong(s, 16);
        } catch (NumberFormatException e) {
            return s.hashCode();
        }
    }

    /** Nested JSON as the bench's path=value, by its own rules for lists. */
    static void flatten(String path, JsonNode n, Map<String, String> to) {
        String under = path.isEmpty() ? "" : path + ".";
        if (n.isObject()) {
            n.properties().forEach(e -> flatten(under + e.getKey(), e.getValue(), to));
        } else if (n.isArray() && !n.isEmpty() && n.get(0).isContainerNode()) {
            to.put(under + "count", Integer.toString(n.size()));
            for (int i = 0; i < n.size(); i++) {
                flatten(under + i, n.get(i), to);
            }
        } else if (n.isArray()) {
            StringBuilder s = new StringBuilder();
            n.forEach(v -> s.append(s.length() == 0 ? "" : ",").append(v.asText()));
            to.put(path, s.toString());
        } else if (!n.isNull()) {
            to.put(path, n.asText());
        }
    }
}

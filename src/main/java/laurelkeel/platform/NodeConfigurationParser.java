package laurelkeel.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Map;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.Settings;
import laurelkeel.options.InvalidOptionException;
import laurelkeel.options.OptionsParser;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Parses the configuration of a front node.
 *
 * <p>All names of its fields and environment variables are defined here. Unknown fields are ignored. If a field is
 * missing or malformed, the error names it. The cached endpoint list and the rollout state are optional; if one of them
 * is malformed, a warning is logged and it is ignored. Thread-safe.
 */
final class NodeConfigurationParser {
    static final String NAME_VARIABLE = "RELAY_NAME";
    static final String LISTEN_VARIABLE = "RELAY_LISTEN";
    static final String DISCOVERY_VARIABLE = "RELAY_DISCOVERY";

    static final String NAME = "name";
    static final String LISTEN = "listen";
    static final String DISCOVERY = "discovery";
    static final String SEED = "seed";
    static final String LIMITS = "limits";
    static final String SOCKETS = "sockets";
    static final String ROLLOUTS = "rollouts";
    static final String ADDRESS = "address";
    static final String ROLLOUT_STATE = "news";
    static final String CACHED_ENDPOINTS = "known";
    static final String SETTINGS = "settings";

    private static final Logger LOG = LoggerFactory.getLogger(NodeConfigurationParser.class);
    private static final int HEXADECIMAL = 16;

    private final Map<String, String> environment;

    /** @param environment environment variables, which provide fields that the configuration lacks */
    NodeConfigurationParser(Map<String, String> environment) {
        this.environment = environment;
    }

    /** Reads and parses a file. */
    NodeConfiguration read(Path file) throws InvalidConfigurationException {
        try (InputStream bytes = Files.newInputStream(file)) {
            return parse(ConfigurationDocument.read(bytes));
        } catch (JsonProcessingException e) {
            throw new InvalidConfigurationException(file.toString(), "is not JSON: " + e.getOriginalMessage());
        } catch (NoSuchFileException e) {
            throw new InvalidConfigurationException(file.toString(), "does not exist");
        } catch (IOException e) {
            throw InvalidConfigurationException.unreadableFile(file.toString(), String.valueOf(e.getMessage()));
        }
    }

    /** Parses a configuration that has been read as JSON; null is treated as an empty document. */
    NodeConfiguration parse(@Nullable JsonNode json) throws InvalidConfigurationException {
        return parse(json == null ? new ConfigurationDocument(null, null) : ConfigurationDocument.of(json));
    }

    private NodeConfiguration parse(ConfigurationDocument document) throws InvalidConfigurationException {
        JsonNode root = document.root();
        if (root == null || !root.isObject()) {
            throw new InvalidConfigurationException("the configuration", "is not a JSON object");
        }
        JsonNode settings = root.path(SETTINGS);
        if (!settings.isObject()) {
            throw new InvalidConfigurationException(SETTINGS, "is missing or not an object");
        }
        Map<String, String> options = SettingsFlattener.flatten(settings);
        int maxSockets = parseMaxSockets(root.path(LIMITS));
        JsonNode rollouts = root.path(ROLLOUTS);
        try {
            Settings parsedSettings = parseSettings(options);
            return new NodeConfiguration(
                    requiredText(root, NAME, NAME_VARIABLE),
                    parseAddress(LISTEN, requiredText(root, LISTEN, LISTEN_VARIABLE)),
                    parseAddress(DISCOVERY, requiredText(root, DISCOVERY, DISCOVERY_VARIABLE)),
                    parseAddress(
                            ROLLOUTS + "." + ADDRESS, rollouts.path(ADDRESS).asText("")),
                    parseSeed(root.path(SEED).asText("")),
                    maxSockets,
                    parseRolloutState(rollouts.path(ROLLOUT_STATE)),
                    document.cachedEndpoints(),
                    parsedSettings,
                    OptionsParser.socketOptions(options));
        } catch (InvalidOptionException e) {
            throw new InvalidConfigurationException(SETTINGS + "." + e.path(), e.reason());
        }
    }

    private static int parseMaxSockets(JsonNode limits) throws InvalidConfigurationException {
        JsonNode sockets = limits.path(SOCKETS);
        if (!sockets.isInt() || sockets.intValue() < 1) {
            throw new InvalidConfigurationException(LIMITS + "." + SOCKETS, "is not a whole number above 0");
        }
        return sockets.intValue();
    }

    private static Settings parseSettings(Map<String, String> options) throws InvalidConfigurationException {
        Settings settings = OptionsParser.settings(options);
        if (settings.routes().isEmpty()) {
            throw new InvalidConfigurationException(SETTINGS + "." + OptionsParser.ROUTES, "contains no route");
        }
        if (settings.rollout().stageExposureCaps().isEmpty()) {
            throw new InvalidConfigurationException(SETTINGS + "." + OptionsParser.STAGE_EXPOSURE_CAPS, "is missing");
        }
        return settings;
    }

    private String requiredText(JsonNode root, String field, String variable) throws InvalidConfigurationException {
        String text = root.path(field).asText(environment.get(variable));
        if (text == null || text.isEmpty()) {
            throw new InvalidConfigurationException(field, "is missing");
        }
        return text;
    }

    private static InetSocketAddress parseAddress(String field, String text) throws InvalidConfigurationException {
        InetSocketAddress address = Ipv4Addresses.parse(text);
        if (address == null) {
            throw new InvalidConfigurationException(field, "'" + text + "' is not an address such as 10.0.0.4:5000");
        }
        return address;
    }

    /** Parses the seed, a hexadecimal number; the seed of any other text is its hash code. */
    private static long parseSeed(String text) {
        try {
            return Long.parseUnsignedLong(text, HEXADECIMAL);
        } catch (NumberFormatException e) {
            return text.hashCode();
        }
    }

    private static @Nullable ReportedRollout parseRolloutState(JsonNode state) {
        if (!state.isObject()) {
            return null;
        }
        JsonNode build = state.path(ControlServiceProtocol.BUILD);
        String phaseName = state.path(ControlServiceProtocol.PHASE).asText("");
        RolloutPhase phase = ControlServiceProtocol.phase(phaseName);
        if (phase == null || !build.isIntegralNumber()) {
            String field = phase == null ? ControlServiceProtocol.PHASE : ControlServiceProtocol.BUILD;
            LOG.warn("{}.{}.{}: is missing or unknown; the rollout state is ignored", ROLLOUTS, ROLLOUT_STATE, field);
            return null;
        }
        return new ReportedRollout(
                build.asInt(),
                state.path(ControlServiceProtocol.STAGE).asInt(0),
                phase,
                state.path(ControlServiceProtocol.CAP).asDouble(0),
                ControlServiceProtocol.millisToTicks(
                        state.path(ControlServiceProtocol.AGE_MS).asDouble(0)));
    }
}

package laurelkeel.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.options.OptionsParser;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Optional and required fields of a configuration, and the errors for missing or malformed ones. */
class NodeConfigurationParserTest {
    private static final String SETTINGS = PlatformTestBed.SETTINGS.formatted(800);
    private static final String REQUIRED =
            """
            {"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","limits":{"sockets":256},
             "rollouts":{"address":"127.0.0.1:3"},"settings":%s}"""
                    .formatted(SETTINGS);
    private static final String STATE =
            "{\"build\":7,\"stage\":1,\"phase\":\"Progressing\",\"cap\":0.5,\"age_ms\":50.25}";
    private static final String LIST =
            "{\"version\":3,\"full\":true,\"servers\":[{\"id\":\"s-1\",\"state\":\"active\"}]}";

    @TempDir
    Path folder;

    private static NodeConfiguration parse(String json, Map<String, String> environment) throws Exception {
        return NodeConfiguration.of(Json.MAPPER.readTree(json), environment);
    }

    private static NodeConfiguration parse(String json) throws Exception {
        return parse(json, Map.of());
    }

    private static String errorMessage(String json) {
        return assertThrows(InvalidConfigurationException.class, () -> parse(json))
                .getMessage();
    }

    private static ObjectNode without(String field) throws Exception {
        ObjectNode configuration = (ObjectNode) Json.MAPPER.readTree(REQUIRED);
        configuration.remove(field);
        return configuration;
    }

    private static String withSeed(String seed) {
        return "{\"seed\":\"" + seed + "\"," + REQUIRED.substring(1);
    }

    private static String withStateAndList(String state, String list) {
        return REQUIRED.replace("127.0.0.1:3\"}", "127.0.0.1:3\",\"news\":" + state + "},\"known\":" + list);
    }

    @Test
    void jsonSettingsEqualTheSameSettingsInTheSimulatorsFormat() throws Exception {
        Map<String, String> options = new TreeMap<>(SettingsFlattener.flatten(Json.MAPPER.readTree(SETTINGS)));
        assertEquals("2", options.get("services.count"));
        assertEquals("0.1,0.5,1.0", options.get("familyInfo.stageCap"));
        StringBuilder wire = new StringBuilder();
        options.forEach(
                (path, value) -> wire.append(path).append('=').append(value).append(' '));
        Map<String, String> read = new HashMap<>();
        for (String pair : wire.toString().strip().split(" ", -1)) {
            read.put(pair.substring(0, pair.indexOf('=')), pair.substring(pair.indexOf('=') + 1));
        }
        assertEquals(OptionsParser.settings(read), OptionsParser.settings(options));
        assertEquals(8_000, OptionsParser.settings(options).rollout().voteTimeoutTicks());
        assertEquals(
                List.of("look", "pay"), OptionsParser.socketOptions(options).routes());
    }

    @Test
    void anErrorNamesTheMissingField() throws Exception {
        assertFalse(parse(REQUIRED).settings().routes().isEmpty());
        for (String field : List.of("name", "listen", "discovery", "limits", "rollouts", "settings")) {
            String message = errorMessage(without(field).toString());
            assertTrue(message.startsWith(field), message);
        }
    }

    @Test
    void anErrorNamesTheMalformedFieldAndTheReason() {
        assertEquals(
                "settings.services.0.effect: 'odd' is unknown",
                errorMessage(REQUIRED.replace("\"effect\":\"safe\"", "\"effect\":\"odd\"")));
        assertEquals(
                "listen: 'localhost:1' is not an address such as 10.0.0.4:5000",
                errorMessage(REQUIRED.replace("127.0.0.1:1", "localhost:1")));
        assertEquals(
                "rollouts.address: '' is not an address such as 10.0.0.4:5000",
                errorMessage(REQUIRED.replace("\"address\":\"127.0.0.1:3\"", "")));
        assertEquals("limits.sockets: is not a whole number above 0", errorMessage(REQUIRED.replace(":256", ":0")));
        assertEquals("settings.services: contains no route", errorMessage(REQUIRED.replace("services", "other")));
        assertEquals("settings.familyInfo.stageCap: is missing", errorMessage(REQUIRED.replace("stageCap", "other")));
        assertEquals("the configuration: is not a JSON object", errorMessage("[]"));
    }

    @Test
    void theEnvironmentProvidesMissingFields() throws Exception {
        Map<String, String> environment =
                Map.of("RELAY_NAME", "n9", "RELAY_LISTEN", "127.0.0.1:8", "RELAY_DISCOVERY", "127.0.0.1:9");
        assertEquals("n9", parse(without("name").toString(), environment).name());
        assertEquals(
                8, parse(without("listen").toString(), environment).listen().getPort());
        assertEquals(
                9,
                parse(without("discovery").toString(), environment).discovery().getPort());
        assertEquals("n", parse(REQUIRED, environment).name());
    }

    @Test
    void aRolloutStateAndACachedListAreParsed() throws Exception {
        NodeConfiguration configuration = parse(withStateAndList(STATE, LIST));
        assertEquals(new ReportedRollout(7, 1, RolloutPhase.CANARY, 0.5, 502), configuration.rolloutState());
        DiscoveredEndpointList cached = configuration.cachedEndpoints();
        assertNotNull(cached);
        assertEquals(3, cached.version());
        assertEquals("s-1", cached.endpoints().get(0).id());
    }

    @Test
    void aRolloutStateOrCachedListThatIsMissingOrMalformedIsIgnored() throws Exception {
        assertNull(parse(REQUIRED).rolloutState());
        assertNull(parse(REQUIRED).cachedEndpoints());
        for (String malformed : List.of("null", "[]", "{}", "7")) {
            NodeConfiguration configuration = parse(withStateAndList(malformed, malformed));
            assertNull(configuration.rolloutState(), malformed);
            assertNull(configuration.cachedEndpoints(), malformed);
        }
        assertNull(parse(withStateAndList(STATE.replace("Progressing", "Other"), LIST))
                .rolloutState());
        assertNull(
                parse(withStateAndList(STATE, LIST.replace("active", "other"))).cachedEndpoints());
    }

    @Test
    void aSeedIsHexadecimalAndOtherTextIsHashed() throws Exception {
        assertEquals(0x8c1f30d27a5be964L, parse(withSeed("8c1f30d27a5be964")).seed());
        assertEquals("other".hashCode(), parse(withSeed("other")).seed());
    }

    @Test
    void onlyAFileThatTheSystemFailsToReadCountsAsUnreadable() throws Exception {
        InvalidConfigurationException missing = assertThrows(
                InvalidConfigurationException.class, () -> NodeConfiguration.read(Path.of("no/such/file"), Map.of()));
        assertTrue(missing.isFileReadable());
        assertTrue(missing.getMessage().startsWith("no/such/file: "), missing.getMessage());
        assertFalse(assertThrows(InvalidConfigurationException.class, () -> NodeConfiguration.read(folder, Map.of()))
                .isFileReadable());
        Path file = Files.writeString(folder.resolve("config.json"), REQUIRED.substring(1));
        assertTrue(assertThrows(InvalidConfigurationException.class, () -> NodeConfiguration.read(file, Map.of()))
                .isFileReadable());
        Files.writeString(file, REQUIRED);
        assertEquals("n", NodeConfiguration.read(file, Map.of()).name());
    }
}

package laurelkeel.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Test;

class SettingsFlattenerTest {
    @Test
    void nestedSettingsBecomePathsAndValues() throws Exception {
        String json =
                """
                {"zone":2,"on":true,"none":null,"rules":{"cold":4000.0,"deep":{"er":"x"}},"empty":[],
                 "caps":[0.1,0.5],"zones":["a","b"],"services":[{"name":"look"},{"name":"pay","caps":[1]}]}""";
        assertEquals(
                Map.ofEntries(
                        Map.entry("zone", "2"),
                        Map.entry("on", "true"),
                        Map.entry("rules.cold", "4000.0"),
                        Map.entry("rules.deep.er", "x"),
                        Map.entry("empty", ""),
                        Map.entry("caps", "0.1,0.5"),
                        Map.entry("zones", "a,b"),
                        Map.entry("services.count", "2"),
                        Map.entry("services.0.name", "look"),
                        Map.entry("services.1.name", "pay"),
                        Map.entry("services.1.caps", "1")),
                SettingsFlattener.flatten(Json.MAPPER.readTree(json)));
    }
}

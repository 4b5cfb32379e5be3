package laurelkeel.config;

import static laurelkeel.config.IniSection.REQUIRED;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class IniSectionTest {
    private static IniFile file(String keys) throws InvalidSettingsException {
        return IniFile.parse("s.ini", "[a]\n" + keys);
    }

    private static List<String> errors(IniFile file) {
        return assertThrows(InvalidSettingsException.class, file::throwIfInvalid)
                .errors();
    }

    @Test
    void valuesAreReadWithTheirTypes() throws Exception {
        IniFile file = file(
                """
                text = some words
                whole = 7
                number = 0.5
                switch = off
                list = 1, 2
                names = x, ,y
                time = 20 ms
                size = 2 KiB
                """);
        IniSection section = file.section("a", false);
        assertEquals("some words", section.stringValue("text", REQUIRED));
        assertEquals(7, section.intValue("whole", REQUIRED, 0, 10));
        assertEquals(0.5, section.doubleValue("number", REQUIRED, 0, 1));
        assertEquals(false, section.booleanValue("switch", "yes"));
        assertEquals(List.of(1.0, 2.0), section.doubleList("list", REQUIRED, 0, 2));
        assertEquals(List.of("x", "y"), section.stringList("names", REQUIRED));
        assertEquals(200, section.durationTicks("time", REQUIRED, "1 ms", "1 s"));
        assertEquals(2048, section.byteSize("size", REQUIRED, "1 B", "1 MiB"));
        file.throwIfInvalid();
    }

    @Test
    void defaultsReplaceAbsentAndBlankValues() throws Exception {
        IniFile file = file("blank =\n");
        IniSection section = file.section("a", false);
        assertEquals(3, section.intValue("blank", "3", 0, 10));
        assertEquals(5, section.intValue("absent", "5", 0, 10));
        file.throwIfInvalid();
    }

    @Test
    void anInvalidValueIsAnErrorAndReadsAsAPlaceholder() throws Exception {
        IniFile file = file("whole = 70\n");
        assertEquals(1, file.section("a", false).intValue("whole", "5", 1, 10));
        assertEquals(List.of("s.ini:2: 'whole' is '70'; write a whole number from 1 to 10"), errors(file));
    }

    @Test
    void aMissingRequiredKeyIsAnErrorIfItsSectionExists() throws Exception {
        IniFile file = file("");
        file.section("a", false).stringValue("key", REQUIRED);
        assertEquals(List.of("s.ini:1: 'key' is missing in [a]; add a line 'key = some text'"), errors(file));
    }

    @Test
    void aMissingSectionIsReportedWithoutItsKeys() throws Exception {
        IniFile file = file("");
        file.section("a", false);
        file.section("b", false).stringValue("key", REQUIRED);
        assertEquals(List.of("s.ini: section [b] is missing; add it"), errors(file));
    }

    @Test
    void addressesNeedAHostAndAValidPort() {
        assertEquals(8080, IniSection.parseAddress("127.0.0.1:8080").getPort());
        assertNull(IniSection.parseAddress("8080"));
        assertNull(IniSection.parseAddress("127.0.0.1:70000"));
        assertThrows(NumberFormatException.class, () -> IniSection.parseAddress("127.0.0.1:http"));
    }

    @Test
    void sectionsOfAKindAreFoundAndCopied() throws Exception {
        IniFile file = IniFile.parse("s.ini", "[route one]\nk = 1\n[route two]\nk = 2\n[other]\n");
        assertEquals(
                List.of("one", "two"), List.copyOf(file.sectionsOfKind("route").keySet()));
        assertTrue(file.hasSection("other"));
        assertEquals("[route one]\nk = 1\n[route two]\nk = 2\n", file.copySections(List.of("route")));
    }
}

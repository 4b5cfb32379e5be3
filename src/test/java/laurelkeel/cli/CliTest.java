package laurelkeel.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The exit codes that scripts rely on. */
class CliTest {
    @TempDir
    Path folder;

    @Test
    void missingCommandIsBadInput() {
        assertEquals(Cli.BAD_INPUT, Cli.run(new String[] {}));
        assertEquals(Cli.BAD_INPUT, Cli.run(new String[] {"bench"}));
    }

    @Test
    void logFormatIsCaseInsensitive() {
        assertEquals(0, Cli.run(new String[] {"--logs", "text", "--help"}));
        assertEquals(0, Cli.run(new String[] {"--logs", "TEXT", "--help"}));
        assertEquals(Cli.BAD_INPUT, Cli.run(new String[] {"--logs", "xml", "--help", "none"}));
    }

    @Test
    void invalidSettingsAreBadInput() throws Exception {
        Path file = Files.writeString(folder.resolve("front.ini"), "[front]\nnumber = none\n");
        assertEquals(Cli.BAD_INPUT, Cli.run(new String[] {"check", file.toString()}));
        assertEquals(Cli.BAD_INPUT, Cli.run(new String[] {"front", file.toString()}));
    }

    @Test
    void emptyOrInvalidSeedRangeIsBadInput() {
        assertEquals(Cli.BAD_INPUT, Cli.run(new String[] {"soak", "--seeds", "5-3"}));
        assertEquals(Cli.BAD_INPUT, Cli.run(new String[] {"soak", "--seeds", "many"}));
    }
}

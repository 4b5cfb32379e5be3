package laurelkeel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** CI passes over the tests that KNOWN-RED.txt names, and over no others. */
class KnownRedTest {
    private static final String ONE = "laurelkeel.KnownRedTest#noFileOrAnEmptyOneExcludesNothing"
            + " | mvn test, seed 7 | a time-out | issue 26\n";

    @TempDir
    Path folder;

    private record Said(int exit, String out, String err) {}

    private Said known(String file) throws Exception {
        Path list = folder.resolve("KNOWN-RED.txt");
        if (file != null) {
            Files.writeString(list, file);
        }
        Process p = new ProcessBuilder("bash", ".ci/known-red", list.toString(), "src/test/java").start();
        String out = read(p.getInputStream()), err = read(p.getErrorStream());
        assertTrue(p.waitFor(30, TimeUnit.SECONDS));
        return new Said(p.exitValue(), out, err);
    }

    private static String read(java.io.InputStream in) throws IOException {
        return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }

    @Test
    void noFileOrAnEmptyOneExcludesNothing() throws Exception {
        assertEquals(new Said(0, "", ""), known(null));
        assertEquals(new Said(0, "", ""), known(""));
    }

    @Test
    void aTestThatIsThereIsExcludedAndPrinted() throws Exception {
        Said s = known(ONE);
        assertEquals(0, s.exit);
        assertEquals("laurelkeel/KnownRedTest.java#noFileOrAnEmptyOneExcludesNothing\n", s.out);
        assertTrue(s.err.contains(ONE), s.err);
    }

    @Test
    void whatIsNoListOfAtMostThreeTestsIsRefused() throws Exception {
        for (String bad : new String[] {
            ONE.repeat(4),
            "\n",
            "laurelkeel.KnownRedTest | mvn test, seed 7 | a time-out | issue 26\n",
            ONE.replace("mvn test, seed 7", ""),
            ONE.replace("a time-out", ""),
            ONE.replace("| issue 26", ""),
            ONE.replace("| a time-out ", ""),
            ONE.replace("noFile", "noSuch"),
            ONE.replace("laurelkeel.", "elsewhere.")
        }) {
            assertEquals(2, known(bad).exit, bad);
        }
    }
}

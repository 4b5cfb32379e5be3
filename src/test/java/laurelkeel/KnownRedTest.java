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

/** Checks that CI skips the tests listed in KNOWN-RED.txt and no others. */
class KnownRedTest {
    private static final String VALID_ENTRY = "laurelkeel.KnownRedTest#aMissingOrEmptyFileExcludesNothing"
            + " | mvn test, seed 7 | a timeout | issue 26\n";

    @TempDir
    Path folder;

    private record Result(int exitCode, String out, String err) {}

    private Result runKnownRed(String content) throws Exception {
        Path list = folder.resolve("KNOWN-RED.txt");
        if (content != null) {
            Files.writeString(list, content);
        }
        Process process = new ProcessBuilder("bash", ".ci/known-red", list.toString(), "src/test/java").start();
        String out = read(process.getInputStream()), err = read(process.getErrorStream());
        assertTrue(process.waitFor(30, TimeUnit.SECONDS));
        return new Result(process.exitValue(), out, err);
    }

    private static String read(java.io.InputStream in) throws IOException {
        return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }

    @Test
    void aMissingOrEmptyFileExcludesNothing() throws Exception {
        assertEquals(new Result(0, "", ""), runKnownRed(null));
        assertEquals(new Result(0, "", ""), runKnownRed(""));
    }

    @Test
    void anExistingTestIsExcludedAndPrinted() throws Exception {
        Result result = runKnownRed(VALID_ENTRY);
        assertEquals(0, result.exitCode);
        assertEquals("laurelkeel/KnownRedTest.java#aMissingOrEmptyFileExcludesNothing\n", result.out);
        assertTrue(result.err.contains(VALID_ENTRY), result.err);
    }

    @Test
    void invalidEntriesAndMoreThanThreeEntriesAreRejected() throws Exception {
        for (String invalid : new String[] {
            VALID_ENTRY.repeat(4),
            "\n",
            "laurelkeel.KnownRedTest | mvn test, seed 7 | a timeout | issue 26\n",
            VALID_ENTRY.replace("mvn test, seed 7", ""),
            VALID_ENTRY.replace("a timeout", ""),
            VALID_ENTRY.replace("| issue 26", ""),
            VALID_ENTRY.replace("| a timeout ", ""),
            VALID_ENTRY.replace("aMissing", "noSuch"),
            VALID_ENTRY.replace("laurelkeel.", "elsewhere.")
        }) {
            assertEquals(2, runKnownRed(invalid).exitCode, invalid);
        }
    }
}

package laurelkeel.records;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledOnOs;
import org.junit.jupiter.api.condition.OS;
import org.junit.jupiter.api.io.TempDir;

class RecorderTest {
    @TempDir
    Path folder;

    @Test
    @EnabledOnOs(OS.LINUX)
    void aFullDiskIsCountedAndFailsNobody() throws IOException {
        for (boolean eachAtOnce : new boolean[] {true, false}) {
            Recorder r = new Recorder(Path.of("/dev/full"), eachAtOnce);
            for (int i = 0; i < 1000; i++) {
                r.record(new TrafficRecord.FrontUp(i, 0, "life"));
            }
            r.close();
            assertEquals(1000, r.lost());
        }
    }

    @Test
    void recordsComeBackAsTheyWereAndACutLastLineIsPassedOver() throws IOException {
        Path file = folder.resolve("a.jsonl");
        List<TrafficRecord> all = List.of(
                new TrafficRecord.FrontUp(1, 0, "x"),
                new TrafficRecord.Lost(2, 5),
                new TrafficRecord.FrontDown(3, 0, true));
        try (Recorder r = new Recorder(file, false)) {
            all.forEach(r::record);
        }
        assertEquals(all, Recorder.readAll(folder));
        byte[] bytes = Files.readAllBytes(file);
        Files.write(file, java.util.Arrays.copyOf(bytes, bytes.length - 4));
        assertEquals(all.subList(0, 2), Recorder.readAll(folder));
    }

    /** A kill may leave half a line; what the next life records must not stand behind it. */
    @Test
    void aHalfLineOfALifeBeforeIsCutOffAtTheOpen() throws IOException {
        Path file = folder.resolve("a.jsonl");
        List<TrafficRecord> all = List.of(new TrafficRecord.FrontUp(1, 0, "x"), new TrafficRecord.Lost(2, 5));
        for (String half : List.of("", "{\"kind\":\"fr", "{}".repeat(3))) {
            Files.deleteIfExists(file);
            try (Recorder r = new Recorder(file, false)) {
                r.record(all.get(0));
            }
            Files.writeString(file, half, java.nio.file.StandardOpenOption.APPEND);
            try (Recorder r = new Recorder(file, true)) {
                r.record(all.get(1));
            }
            assertEquals(all, Recorder.readAll(folder));
        }
        Files.writeString(file, "{\"half\":");
        try (Recorder r = new Recorder(file, true)) {
            all.forEach(r::record);
        }
        assertEquals(all, Recorder.readAll(folder));
    }

    @Test
    void aPathThatIsWrongIsToldAtTheStart() throws IOException {
        Files.writeString(folder.resolve("file"), "");
        assertThrows(
                IOException.class, () -> new Recorder(folder.resolve("file").resolve("a.jsonl"), true));
    }
}

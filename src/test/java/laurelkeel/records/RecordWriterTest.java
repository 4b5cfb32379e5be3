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

class RecordWriterTest {
    @TempDir
    Path folder;

    @Test
    @EnabledOnOs(OS.LINUX)
    void countsLostRecordsWithoutThrowingIfTheDiskIsFull() throws IOException {
        for (boolean isUnbuffered : new boolean[] {true, false}) {
            RecordWriter writer = new RecordWriter(Path.of("/dev/full"), isUnbuffered);
            for (int i = 0; i < 1000; i++) {
                writer.record(new TrafficRecord.NodeStarted(i, 0, "life"));
            }
            writer.close();
            assertEquals(1000, writer.lostRecords());
        }
    }

    @Test
    void readsWrittenRecordsAndSkipsAnIncompleteLastLine() throws IOException {
        Path file = folder.resolve("a.jsonl");
        List<TrafficRecord> all = List.of(
                new TrafficRecord.NodeStarted(1, 0, "x"),
                new TrafficRecord.RecordsLost(2, 5),
                new TrafficRecord.NodeStopped(3, 0, true));
        try (RecordWriter writer = new RecordWriter(file, false)) {
            all.forEach(writer::record);
        }
        assertEquals(all, RecordReader.readAll(folder));
        byte[] bytes = Files.readAllBytes(file);
        Files.write(file, java.util.Arrays.copyOf(bytes, bytes.length - 4));
        assertEquals(all.subList(0, 2), RecordReader.readAll(folder));
    }

    /** A killed process may leave an incomplete line; the next process must not append to it. */
    @Test
    void removesAnIncompleteLineOfAnEarlierProcessOnOpen() throws IOException {
        Path file = folder.resolve("a.jsonl");
        List<TrafficRecord> all =
                List.of(new TrafficRecord.NodeStarted(1, 0, "x"), new TrafficRecord.RecordsLost(2, 5));
        for (String incomplete : List.of("", "{\"kind\":\"fr", "{}".repeat(3))) {
            Files.deleteIfExists(file);
            try (RecordWriter writer = new RecordWriter(file, false)) {
                writer.record(all.get(0));
            }
            Files.writeString(file, incomplete, java.nio.file.StandardOpenOption.APPEND);
            try (RecordWriter writer = new RecordWriter(file, true)) {
                writer.record(all.get(1));
            }
            assertEquals(all, RecordReader.readAll(folder));
        }
        Files.writeString(file, "{\"half\":");
        try (RecordWriter writer = new RecordWriter(file, true)) {
            all.forEach(writer::record);
        }
        assertEquals(all, RecordReader.readAll(folder));
    }

    @Test
    void reportsAnUnusablePathOnOpen() throws IOException {
        Files.writeString(folder.resolve("file"), "");
        assertThrows(
                IOException.class, () -> new RecordWriter(folder.resolve("file").resolve("a.jsonl"), true));
    }
}

package laurelkeel.records;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Reads record files. */
public final class RecordReader {
    private static final String FILE_SUFFIX = ".jsonl";

    private RecordReader() {}

    /**
     * Reads all record files of a folder and sorts the records by time; records with equal times keep the order of
     * their files. An incomplete last line, which a killed process may leave, is skipped.
     *
     * @throws IOException if a file cannot be read or a line is not a record; the message names file and line
     */
    public static List<TrafficRecord> readAll(Path folder) throws IOException {
        List<TrafficRecord> records = new ArrayList<>();
        for (Path file : recordFiles(folder)) {
            readFile(file, records);
        }
        records.sort(Comparator.comparingLong(TrafficRecord::timeTicks));
        return records;
    }

    private static List<Path> recordFiles(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(file -> file.toString().endsWith(FILE_SUFFIX))
                    .sorted()
                    .toList();
        }
    }

    private static void readFile(Path file, List<TrafficRecord> records) throws IOException {
        try (BufferedReader lines = Files.newBufferedReader(file)) {
            int lineNumber = 0;
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                lineNumber++;
                try {
                    records.add(RecordJson.decodeLine(line));
                } catch (JsonProcessingException e) {
                    boolean isLastLine = lines.readLine() == null;
                    if (!isLastLine) {
                        throw new IOException(file + ":" + lineNumber + ": not a record: " + e.getOriginalMessage(), e);
                    }
                }
            }
        }
    }
}

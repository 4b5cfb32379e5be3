package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to record.txt; each line starts with the milliseconds since the start. */
final class Record implements AutoCloseable {
    private static final double NANOS_PER_MILLI = 1e6;

    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    /** Returns the milliseconds since the start, by the monotonic clock. */
    double millis() {
        return (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }

    synchronized void line(String text) {
        out.println(String.format(Locale.ROOT, "%10.1f ", millis()) + text);
    }

    /** Writes a line to the record and to standard output. */
    void result(String text) {
        line(text);
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}

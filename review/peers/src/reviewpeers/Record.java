package reviewpeers;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: one line for each thing sent, answered, run or told, with the seconds since the start. Thread-safe. */
final class Record implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    /** Returns the seconds since the start of the case. */
    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void line(String format, Object... values) {
        out.printf(Locale.ROOT, "%9.4f %s%n", seconds(), String.format(Locale.ROOT, format, values));
    }

    /** Writes a line to the record and to standard output. */
    void say(String format, Object... values) {
        line(format, values);
        System.out.println(String.format(Locale.ROOT, format, values));
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}

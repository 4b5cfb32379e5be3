package laurelkeel.records;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.AccessDeniedException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.NotDirectoryException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Writes records to one file, from any thread, and reads them back. */
public final class Recorder implements Closeable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int BUFFER = 8 << 10;

    /** Opened again after this where the disk did not let it be. */
    private static final long REOPEN_NANOS = 1_000_000_000L;
    /** More than a record has: within it the end of the last whole one is looked for. */
    private static final int TAIL = 64 << 10;

    private final Path file;
    private final boolean eachAtOnce;
    /** Whole lines that have not reached the file. */
    private final ByteArrayOutputStream lines = new ByteArrayOutputStream();
    /** Null while it could not be opened. */
    private FileChannel out;

    private long openedAt = System.nanoTime();
    private int waiting;
    private long lost, lostUntold;

    /**
     * A disk that is full or fails is waited for; what is recorded meanwhile is counted as lost.
     *
     * @param eachAtOnce every line reaches the file before record returns, for processes that may be killed
     * @throws IOException where the path itself is wrong: not there, no folder, not allowed
     */
    public Recorder(Path file, boolean eachAtOnce) throws IOException {
        this.file = file;
        this.eachAtOnce = eachAtOnce;
        try {
            out = opened(file);
        } catch (NoSuchFileException | AccessDeniedException | NotDirectoryException | FileAlreadyExistsException e) {
            throw e;
        } catch (IOException e) {
            out = null;
        }
    }

    private static FileChannel opened(Path file) throws IOException {
        if (file.toAbsolutePath().getParent() != null) {
            Files.createDirectories(file.toAbsolutePath().getParent());
        }
        if (Files.isRegularFile(file)) {
            cutHalfLine(file);
        }
        return FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.APPEND);
    }

    /** A kill may have left half a line at the end; the next one would stand behind it, and a reader refuse both. */
    private static void cutHalfLine(Path file) throws IOException {
        try (FileChannel whole = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            long size = whole.size();
            ByteBuffer tail = ByteBuffer.allocate((int) Math.min(TAIL, size));
            long from = size - tail.capacity();
            while (tail.hasRemaining() && whole.read(tail, from + tail.position()) >= 0) {
                // read on
            }
            int end = tail.position();
            while (end > 0 && tail.get(end - 1) != '\n') {
                end--;
            }
            if (end < tail.position() && (end > 0 || from == 0)) {
                whole.truncate(from + end);
            }
        }
    }

    /** For a file that is open already. */
    Recorder(FileChannel out, boolean eachAtOnce) {
        this.file = null;
        this.out = out;
        this.eachAtOnce = eachAtOnce;
    }

    /** The clock of all records: tenths of a millisecond, the same in every process of this host. */
    public static long now() {
        return System.nanoTime() / 100_000;
    }

    /** Never fails its caller: what a full disk does not take is counted, and told in the file once there is room. */
    public synchronized void record(TrafficRecord r) {
        try {
            lines.writeBytes(line(r));
        } catch (UncheckedIOException e) {
            lost++;
            lostUntold++;
            return;
        }
        waiting++;
        if (eachAtOnce || lines.size() >= BUFFER) {
            flush();
        }
    }

    private static byte[] line(TrafficRecord r) {
        try {
            return (JSON.writeValueAsString(r) + '\n').getBytes(StandardCharsets.UTF_8);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("a record is none", e);
        }
    }

    private void write(byte[] bytes) throws IOException {
        for (ByteBuffer left = ByteBuffer.wrap(bytes); left.hasRemaining(); ) {
            out.write(left);
        }
    }

    private void flush() {
        long before = -1;
        try {
            reopen();
            before = out.size();
            if (lostUntold > 0) {
                write(line(new TrafficRecord.Lost(now(), lostUntold)));
            }
            write(lines.toByteArray());
            lostUntold = 0;
        } catch (IOException e) {
            lost += waiting;
            lostUntold += waiting;
            cut(before);
        }
        lines.reset();
        waiting = 0;
    }

    private void reopen() throws IOException {
        if (out == null) {
            if (System.nanoTime() - openedAt < REOPEN_NANOS) {
                throw new IOException("it could not be opened a moment ago");
            }
            openedAt = System.nanoTime();
            out = opened(file);
        }
    }

    /** Half a line in mid-file would make a reader refuse all of it. */
    private void cut(long to) {
        try {
            if (to >= 0) {
                out.truncate(to);
            }
        } catch (IOException e) {
            // no file that has an end, as a device
        }
    }

    /** Records that did not reach the file since the start. */
    public synchronized long lost() {
        return lost;
    }

    @Override
    public synchronized void close() throws IOException {
        flush();
        if (out != null) {
            out.close();
        }
    }

    /**
     * All records of a folder's .jsonl files, by time; those of one moment stay in the order of their files.
     *
     * @throws IOException naming file and line where one cannot be read; a last line cut off by a kill is passed over
     */
    public static List<TrafficRecord> readAll(Path folder) throws IOException {
        List<TrafficRecord> all = new ArrayList<>();
        List<Path> files;
        try (Stream<Path> in = Files.list(folder)) {
            files = in.filter(f -> f.toString().endsWith(".jsonl")).sorted().toList();
        }
        for (Path f : files) {
            try (BufferedReader in = Files.newBufferedReader(f)) {
                int n = 0;
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    n++;
                    try {
                        all.add(JSON.readValue(line, TrafficRecord.class));
                    } catch (JsonProcessingException e) {
                        if (in.readLine() != null) {
                            throw new IOException(f + ":" + n + ": no record: " + e.getOriginalMessage(), e);
                        }
                    }
                }
            }
        }
        all.sort(Comparator.comparingLong(TrafficRecord::t));
        return all;
    }
}

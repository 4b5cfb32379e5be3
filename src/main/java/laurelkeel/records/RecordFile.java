package laurelkeel.records;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.AccessDeniedException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.NotDirectoryException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import org.jspecify.annotations.Nullable;

/**
 * A file to which whole lines are appended; where the disk fails or is full it is opened again later. Not thread-safe.
 */
final class RecordFile implements Closeable {
    private static final long REOPEN_INTERVAL_NANOS = 1_000_000_000L;
    /** Longer than any line, so that the end of the last whole line stands within it. */
    private static final int MAX_TAIL_BYTES = 64 << 10;

    private static final long UNKNOWN_SIZE = -1;

    private final Path path;
    /** Null while the file could not be opened. */
    private @Nullable FileChannel channel;

    private long lastOpenAttemptNanos = System.nanoTime();

    /**
     * Opens the file; one that the disk does not let be opened now is opened by a later append.
     *
     * @throws IOException where the path itself is wrong: missing, not a folder, not allowed
     */
    RecordFile(Path path) throws IOException {
        this.path = path;
        try {
            channel = open(path);
        } catch (NoSuchFileException | AccessDeniedException | NotDirectoryException | FileAlreadyExistsException e) {
            throw e;
        } catch (IOException e) {
            channel = null;
        }
    }

    private static FileChannel open(Path path) throws IOException {
        Path folder = path.toAbsolutePath().getParent();
        if (folder != null) {
            Files.createDirectories(folder);
        }
        if (Files.isRegularFile(path)) {
            truncateIncompleteLine(path);
        }
        return FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.APPEND);
    }

    /** A killed process may have left an incomplete line; appending to it would make both lines unreadable. */
    private static void truncateIncompleteLine(Path path) throws IOException {
        try (FileChannel file = FileChannel.open(path, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            long size = file.size();
            ByteBuffer tail = ByteBuffer.allocate((int) Math.min(MAX_TAIL_BYTES, size));
            long tailOffset = size - tail.capacity();
            int read = 0;
            while (tail.hasRemaining() && read >= 0) {
                read = file.read(tail, tailOffset + tail.position());
            }
            int end = tail.position();
            while (end > 0 && tail.get(end - 1) != '\n') {
                end--;
            }
            boolean lineEndFound = end > 0 || tailOffset == 0;
            if (end < tail.position() && lineEndFound) {
                file.truncate(tailOffset + end);
            }
        }
    }

    /**
     * Appends whole lines, or nothing.
     *
     * @throws IOException where the disk did not take them
     */
    void append(byte[] lines) throws IOException {
        FileChannel openChannel = openChannel();
        long sizeBefore = UNKNOWN_SIZE;
        try {
            sizeBefore = openChannel.size();
            ByteBuffer remaining = ByteBuffer.wrap(lines);
            while (remaining.hasRemaining()) {
                openChannel.write(remaining);
            }
        } catch (IOException e) {
            if (sizeBefore != UNKNOWN_SIZE) {
                truncate(openChannel, sizeBefore);
            }
            throw e;
        }
    }

    private FileChannel openChannel() throws IOException {
        if (channel != null) {
            return channel;
        }
        if (System.nanoTime() - lastOpenAttemptNanos < REOPEN_INTERVAL_NANOS) {
            throw new IOException("it could not be opened a moment ago");
        }
        lastOpenAttemptNanos = System.nanoTime();
        FileChannel opened = open(path);
        channel = opened;
        return opened;
    }

    /** An incomplete line within the file would make a reader refuse all of it. */
    private static void truncate(FileChannel channel, long size) {
        try {
            channel.truncate(size);
        } catch (IOException ignored) {
            // a device has no end to cut off
        }
    }

    @Override
    public void close() throws IOException {
        if (channel != null) {
            channel.close();
        }
    }
}

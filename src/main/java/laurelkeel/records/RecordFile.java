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
 * A file to which whole lines are appended. If it cannot be opened, later appends try again. Not thread-safe.
 */
final class RecordFile implements Closeable {
    private static final long REOPEN_INTERVAL_NANOS = 1_000_000_000L;
    /** Longer than any line, so that the tail always includes the end of the last complete line. */
    private static final int MAX_TAIL_BYTES = 64 << 10;

    private static final long UNKNOWN_SIZE = -1;

    private final Path path;
    /** Null until the file has been opened. */
    private @Nullable FileChannel channel;

    private long lastOpenAttemptNanos = System.nanoTime();

    /**
     * Opens the file. If the disk fails, a later append opens it.
     *
     * @throws IOException if the path itself is unusable: missing, not a folder, or access denied
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

    /**
     * Removes an incomplete last line. A killed process may have left one, and appending to it would make both lines
     * unreadable.
     */
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
     * Appends all the lines, or none of them.
     *
     * @throws IOException if they could not be written
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
            throw new IOException("the last attempt to open the file failed less than a second ago");
        }
        lastOpenAttemptNanos = System.nanoTime();
        FileChannel opened = open(path);
        channel = opened;
        return opened;
    }

    /** Removes a partly written line: a reader would reject the whole file because of it. */
    private static void truncate(FileChannel channel, long size) {
        try {
            channel.truncate(size);
        } catch (IOException ignored) {
            // devices cannot be truncated
        }
    }

    @Override
    public void close() throws IOException {
        if (channel != null) {
            channel.close();
        }
    }
}

package laurelkeel.front;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import laurelkeel.front.controlplane.EndpointDescription;
import laurelkeel.front.controlplane.EndpointListFile;
import laurelkeel.front.controlplane.InvalidMessageException;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The last endpoint list on disk, which is the only state that a front node keeps over a restart. It is written to a
 * second file and renamed, so that a killed process leaves either the previous list or the new one intact. Ages are
 * read as they were written: only the wall clock tells how long ago that was, and it may have been stepped since.
 * Treating an endpoint as warmed up too early is worse than treating it as warming up. Thread-safe.
 */
final class EndpointListCache {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointListCache.class);

    private static final String FILE_NAME = "list.json";
    private static final String NEW_FILE_NAME = "list.json.new";

    /**
     * Short enough that a restart rarely finds an outdated list, and long enough to cost little while a disk is full.
     */
    private static final long RETRY_MILLIS = 1_000;

    private final Path file;
    private final Path newFile;
    private final ScheduledExecutorService writer;
    /** The list to be written next; null if none is pending. */
    private final AtomicReference<@Nullable List<EndpointDescription>> pending = new AtomicReference<>();

    /**
     * Creates the cache in a directory, which is created when the first list is written.
     *
     * @param writer runs the tasks that write the file
     */
    EndpointListCache(Path directory, ScheduledExecutorService writer) {
        this.writer = writer;
        file = directory.resolve(FILE_NAME);
        newFile = directory.resolve(NEW_FILE_NAME);
    }

    /** Returns the list on disk, with ages as of when it was written; empty if there is none or it cannot be read. */
    List<EndpointDescription> read() {
        if (!Files.exists(file)) {
            return List.of();
        }
        try {
            return EndpointListFile.read(file);
        } catch (InvalidMessageException e) {
            LOG.warn("{} is malformed; starting without an endpoint list: {}", file, e.getMessage());
        } catch (IOException e) {
            LOG.warn("{} cannot be read; starting without an endpoint list: {}", file, e.getMessage());
        }
        return List.of();
    }

    /** Schedules a list to be written, in place of one that is still pending. */
    void store(Collection<EndpointDescription> endpoints) {
        if (pending.getAndSet(List.copyOf(endpoints)) == null) {
            writer.execute(this::write);
        }
    }

    private void write() {
        List<EndpointDescription> endpoints = pending.getAndSet(null);
        if (endpoints == null) {
            return;
        }
        try {
            Files.createDirectories(file.toAbsolutePath().getParent());
            EndpointListFile.write(newFile, endpoints);
            Files.move(newFile, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException | RuntimeException e) {
            LOG.warn("the endpoint list could not be written to {}: {}", file, e.getMessage());
            // the list may not change for hours: once the disk has space, a restart must find this one
            if (pending.compareAndSet(null, endpoints)) {
                retryLater();
            }
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // write logs its own failures
    private void retryLater() {
        writer.schedule(this::write, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }
}

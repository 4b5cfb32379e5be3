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
 * The last endpoint list on disk, which is all that a front node keeps over a restart. It is written to a second file and
 * renamed, so that a kill leaves the list before or the new one whole. Ages in it stay as they were: how long ago it was
 * written only the wall clock says, which may have been stepped since, and an endpoint taken for warm too soon is worse
 * than one taken for cold. Thread-safe.
 */
final class EndpointListCache {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointListCache.class);

    private static final String FILE_NAME = "list.json";
    private static final String NEW_FILE_NAME = "list.json.new";

    /** Short enough to lose little, and long enough to cost nothing while a disk is full. */
    private static final long RETRY_MILLIS = 1_000;

    private final Path file;
    private final Path newFile;
    private final ScheduledExecutorService writer;
    /** The list to be written next; null while none is. */
    private final AtomicReference<@Nullable List<EndpointDescription>> pending = new AtomicReference<>();

    /**
     * Creates the cache in a directory, which is made when the first list is written.
     *
     * @param writer writes the file
     */
    EndpointListCache(Path directory, ScheduledExecutorService writer) {
        this.writer = writer;
        file = directory.resolve(FILE_NAME);
        newFile = directory.resolve(NEW_FILE_NAME);
    }

    /** The list on disk, with ages as of when it was written; empty where there is none or it cannot be read. */
    List<EndpointDescription> read() {
        if (!Files.exists(file)) {
            return List.of();
        }
        try {
            return EndpointListFile.read(file);
        } catch (InvalidMessageException e) {
            LOG.warn("{} cannot be followed; starting without a list: {}", file, e.getMessage());
        } catch (IOException e) {
            LOG.warn("{} cannot be read; starting without a list: {}", file, e.getMessage());
        }
        return List.of();
    }

    /** Writes a list soon; of several in a row only the last is written. */
    void keep(Collection<EndpointDescription> endpoints) {
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
            LOG.warn("the endpoint list could not be kept in {}: {}", file, e.getMessage());
            // a list may not change for hours: once there is room, a restart must find this one
            if (pending.compareAndSet(null, endpoints)) {
                retryLater();
            }
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // write reports its failures itself
    private void retryLater() {
        writer.schedule(this::write, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }
}

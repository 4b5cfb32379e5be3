package laurelkeel.front;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import laurelkeel.front.controlplane.EndpointListMessage;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The last machine list, on disk: all that a front keeps over a restart. It is written aside and renamed, so that a
 * kill leaves the one before or the new one whole. Ages in it stay as they were: how long ago it was written only the wall
 * clock says, which may have been stepped since, and a machine taken for warm too soon is worse than one taken for cold.
 */
final class EndpointListCache {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointListCache.class);
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Often enough to lose little, seldom enough to cost nothing while a disk is full. */
    private static final long AGAIN_MS = 1_000;

    private final Path file;
    private final ScheduledExecutorService saver;
    private final AtomicReference<List<EndpointListMessage.Machine>> next = new AtomicReference<>();

    EndpointListCache(Path folder, ScheduledExecutorService saver) {
        this.file = folder.resolve("list.json");
        this.saver = saver;
    }

    /** What was kept, with ages as of when it was written; empty where nothing was or it cannot be read. */
    List<EndpointListMessage.Machine> read() {
        try {
            if (!Files.exists(file)) {
                return List.of();
            }
            List<EndpointListMessage.Machine> kept = JSON.readValue(file.toFile(), new TypeReference<>() {});
            String fault = kept == null ? "it is empty" : new EndpointListMessage("full", 0, 0, kept).fault();
            if (fault != null) {
                LOG.warn("{} cannot be followed; starting without a list: {}", file, fault);
                return List.of();
            }
            return kept;
        } catch (IOException e) {
            LOG.warn("{} cannot be read; starting without a list: {}", file, e.getMessage());
            return List.of();
        }
    }

    /** Keeps it soon; of several in a row only the last is written. */
    void keep(Collection<EndpointListMessage.Machine> machines) {
        if (next.getAndSet(List.copyOf(machines)) == null) {
            saver.execute(this::write);
        }
    }

    private void write() {
        List<EndpointListMessage.Machine> machines = next.getAndSet(null);
        Path aside = file.resolveSibling("list.json.new");
        try {
            Files.createDirectories(file.getParent());
            JSON.writeValue(aside.toFile(), machines);
            Files.move(aside, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException | RuntimeException e) {
            LOG.warn("the machine list could not be kept in {}: {}", file, e.getMessage());
            // a list may not change for hours: once there is room, a restart must find this one
            if (next.compareAndSet(null, machines)) {
                saver.schedule(this::write, AGAIN_MS, TimeUnit.MILLISECONDS);
            }
        }
    }
}

package laurelkeel.cli;

import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import laurelkeel.platform.InvalidConfigurationException;
import laurelkeel.platform.NodeConfiguration;
import laurelkeel.platform.PlatformNode;

/** Reloads a node's configuration file and applies it. Thread-safe. */
final class ConfigurationReloader {
    private static final long READ_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Two seconds, because the file may be read while it is being replaced. */
    private static final int MAX_READS = 20;
    /** Thirty seconds, because the system may temporarily lack a resource, for example a file descriptor. */
    private static final int MAX_READS_WHILE_UNREADABLE = 300;

    private final Path file;
    private final Map<String, String> environment;

    /** @param environment variables that replace fields missing from the file */
    ConfigurationReloader(Path file, Map<String, String> environment) {
        this.file = file;
        this.environment = environment;
    }

    /**
     * Reads the file and applies it. If the file is unreadable or invalid, reading is retried for a limited time; after
     * that the node keeps its current configuration. Calls are serialized, because otherwise a call that has read an
     * older version of the file could apply it last.
     */
    synchronized void reload(PlatformNode node) {
        String failure = "";
        boolean fileReadable = false;
        for (int reads = 0; reads < (fileReadable ? MAX_READS : MAX_READS_WHILE_UNREADABLE); reads++) {
            try {
                node.reconfigure(NodeConfiguration.read(file, environment));
                return;
            } catch (InvalidConfigurationException e) {
                failure = e.getMessage();
                fileReadable = e.isFileReadable();
                LockSupport.parkNanos(READ_INTERVAL_NANOS);
            }
        }
        System.err.println("laurelkeel: reload failed, the previous configuration remains in force: " + failure);
    }
}

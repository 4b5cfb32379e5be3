package laurelkeel.cli;

import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import laurelkeel.platform.InvalidConfigurationException;
import laurelkeel.platform.NodeConfiguration;
import laurelkeel.platform.PlatformNode;

/** Reads a node's configuration again and applies it; thread-safe. */
final class ConfigurationReloader {
    private static final long READ_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Two seconds: the file may be read while it is being replaced. */
    private static final int MAX_READS = 20;
    /** Thirty seconds: the system may lack something, a descriptor for example, for a while. */
    private static final int MAX_READS_WHILE_UNREADABLE = 300;

    private final Path file;
    private final Map<String, String> environment;

    /** @param environment stands for fields that the file lacks */
    ConfigurationReloader(Path file, Map<String, String> environment) {
        this.file = file;
        this.environment = environment;
    }

    /**
     * Reads the file, again for a while where it cannot be followed, and applies it; else the node goes on with what it
     * has. Calls run one after the other, or a file that has been replaced since could be applied last.
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
        System.err.println("laurelkeel: the configuration before stays in force: " + failure);
    }
}

package laurelkeel.cli;

import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import laurelkeel.decision.RoutingDecider;
import laurelkeel.front.FrontNode;
import laurelkeel.logging.RateLimitedAsyncAppender;
import laurelkeel.platform.InvalidConfigurationException;
import laurelkeel.platform.NodeConfiguration;
import laurelkeel.platform.PlatformNode;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs one front node of the users' platform in the foreground, configured by its environment (docs/platform.md). */
final class NodeLauncher {
    private static final Logger LOG = LoggerFactory.getLogger(NodeLauncher.class);
    private static final String CONFIGURATION_VARIABLE = "RELAY_CONFIG";
    private static final int MAX_INITIAL_READS = 50;
    private static final long READ_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private NodeLauncher() {}

    /**
     * Runs a node until it has drained or failed.
     *
     * @param environment the process's variables
     * @return the process's exit code
     * @throws Exception where the node cannot be created or started
     */
    static int run(Map<String, String> environment) throws Exception {
        String path = environment.get(CONFIGURATION_VARIABLE);
        if (path == null || path.isEmpty()) {
            System.err.println("laurelkeel: " + CONFIGURATION_VARIABLE + " is not set; it must name the configuration");
            return Cli.BAD_INPUT;
        }
        Path file = Path.of(path);
        CompletableFuture<PlatformNode> created = new CompletableFuture<>();
        // before all else: without a handler either signal would end the process
        handleSignals(created, new ConfigurationReloader(file, environment));
        NodeConfiguration configuration;
        try {
            configuration = readInitialConfiguration(file, environment);
        } catch (InvalidConfigurationException e) {
            System.err.println("laurelkeel: " + e.getMessage());
            return Cli.BAD_INPUT;
        }
        Throwable failure = runNode(configuration, created);
        RateLimitedAsyncAppender.flush(Cli.LOG_FLUSH_MILLIS);
        return failure == null ? 0 : Cli.FAILED;
    }

    /** A signal that comes before there is a node waits for it. */
    private static void handleSignals(CompletableFuture<PlatformNode> created, ConfigurationReloader reloader) {
        SignalHandlers.install("TERM", () -> created.join().frontNode().drain());
        SignalHandlers.install("HUP", () -> reloader.reload(created.join()));
    }

    /** Retries only where the system fails to read the file; an invalid configuration is reported at once. */
    private static NodeConfiguration readInitialConfiguration(Path file, Map<String, String> environment)
            throws InvalidConfigurationException {
        for (int reads = 1; ; reads++) {
            try {
                return NodeConfiguration.read(file, environment);
            } catch (InvalidConfigurationException e) {
                if (e.isFileReadable() || reads == MAX_INITIAL_READS) {
                    throw e;
                }
                LOG.warn("the configuration is read again: {}", e.getMessage());
                LockSupport.parkNanos(READ_INTERVAL_NANOS);
            }
        }
    }

    /** Returns what the node failed of; null where it has drained. */
    private static @Nullable Throwable runNode(NodeConfiguration configuration, CompletableFuture<PlatformNode> created)
            throws Exception {
        PlatformNode node;
        try {
            node = PlatformNode.create(configuration, RoutingDecider::new);
        } catch (RuntimeException | Error e) {
            // signals that wait for the node would keep the process alive
            created.completeExceptionally(e);
            throw e;
        }
        FrontNode front = node.frontNode();
        // for the threads of libraries too: a node without one of its threads would be half alive
        Thread.setDefaultUncaughtExceptionHandler((thread, failure) -> front.fail(failure));
        created.complete(node);
        front.start();
        return front.termination().get();
    }
}

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

/** Runs one front node of the users' platform in the foreground, configured by the environment (docs/platform.md). */
final class NodeLauncher {
    private static final Logger LOG = LoggerFactory.getLogger(NodeLauncher.class);
    private static final String CONFIGURATION_VARIABLE = "RELAY_CONFIG";
    private static final int MAX_INITIAL_READS = 50;
    private static final long READ_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private NodeLauncher() {}

    /**
     * Runs a node until it has drained or failed.
     *
     * @param environment the process's environment variables
     * @return the process's exit code
     * @throws Exception if the node cannot be created or started
     */
    static int run(Map<String, String> environment) throws Exception {
        String path = environment.get(CONFIGURATION_VARIABLE);
        if (path == null || path.isEmpty()) {
            System.err.println(
                    "laurelkeel: " + CONFIGURATION_VARIABLE + " is not set; it must name the configuration file");
            return Cli.BAD_INPUT;
        }
        Path file = Path.of(path);
        CompletableFuture<PlatformNode> created = new CompletableFuture<>();
        // first of all, because without a handler either signal would terminate the process
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

    /** Installs the signal handlers. A signal that arrives before the node is created waits for it. */
    private static void handleSignals(CompletableFuture<PlatformNode> created, ConfigurationReloader reloader) {
        SignalHandlers.install("TERM", () -> created.join().frontNode().drain());
        SignalHandlers.install("HUP", () -> reloader.reload(created.join()));
    }

    /** Reads the configuration. Retries only if the file is unreadable; an invalid configuration fails immediately. */
    private static NodeConfiguration readInitialConfiguration(Path file, Map<String, String> environment)
            throws InvalidConfigurationException {
        for (int reads = 1; ; reads++) {
            try {
                return NodeConfiguration.read(file, environment);
            } catch (InvalidConfigurationException e) {
                if (e.isFileReadable() || reads == MAX_INITIAL_READS) {
                    throw e;
                }
                LOG.warn("cannot read the configuration; it is read again: {}", e.getMessage());
                LockSupport.parkNanos(READ_INTERVAL_NANOS);
            }
        }
    }

    /** Runs the node and returns the failure that stopped it; null if it has drained. */
    private static @Nullable Throwable runNode(NodeConfiguration configuration, CompletableFuture<PlatformNode> created)
            throws Exception {
        PlatformNode node;
        try {
            node = PlatformNode.create(configuration, RoutingDecider::new);
        } catch (RuntimeException | Error e) {
            // otherwise signal handlers that wait for the node would keep the process alive
            created.completeExceptionally(e);
            throw e;
        }
        FrontNode front = node.frontNode();
        // library threads too: a node that has lost a thread would keep running but work only in part
        Thread.setDefaultUncaughtExceptionHandler((thread, failure) -> front.fail(failure));
        created.complete(node);
        front.start();
        return front.termination().get();
    }
}

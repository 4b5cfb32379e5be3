package laurelkeel.cli;

import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import laurelkeel.decision.RoutingDecider;
import laurelkeel.front.FrontNode;
import laurelkeel.logging.RateLimitedAsyncAppender;
import laurelkeel.platform.InvalidConfigurationException;
import laurelkeel.platform.NodeConfiguration;
import laurelkeel.platform.PlatformNode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/** Runs one front node of the users' platform in the foreground, set by its environment (docs/platform.md). */
final class NodeLauncher {
    private static final Logger LOG = LoggerFactory.getLogger(NodeLauncher.class);
    private static final int REREADS = 20;
    /** Where the system does not hand the file over (no descriptor, an error of the disk) it will, sooner or later. */
    private static final int REREADS_UNREADABLE = 300;

    private static final int READS_AT_START = 50;
    private static final long REREAD_NANOS = 100_000_000;

    private NodeLauncher() {}

    static int run(Map<String, String> env) throws Exception {
        String at = env.get("RELAY_CONFIG");
        if (at == null || at.isEmpty()) {
            System.err.println("laurelkeel: RELAY_CONFIG is not set; it must name the configuration");
            return Cli.BAD_INPUT;
        }
        Path file = Path.of(at);
        CompletableFuture<PlatformNode> serving = new CompletableFuture<>();
        // before all else: without a handler either signal would end the process
        handle("TERM", () -> serving.join().frontNode().drain());
        handle("HUP", () -> reread(file, env, serving.join()));
        NodeConfiguration config;
        try {
            config = readAtStart(file, env);
        } catch (InvalidConfigurationException e) {
            System.err.println("laurelkeel: " + e.getMessage());
            return Cli.BAD_INPUT;
        }
        PlatformNode node;
        try {
            node = PlatformNode.create(config, RoutingDecider::new);
        } catch (RuntimeException | Error e) {
            // signals that wait for it would keep the process alive
            serving.completeExceptionally(e);
            throw e;
        }
        FrontNode front = node.frontNode();
        // threads of libraries too: none may die alone
        Thread.setDefaultUncaughtExceptionHandler((thread, e) -> front.fail(e));
        serving.complete(node);
        front.start();
        Throwable failure = front.termination().get();
        RateLimitedAsyncAppender.flush(Cli.LOGS_MS);
        return failure == null ? 0 : Cli.FAILED;
    }

    /** Whoever starts a node waits for it: one that the system does not hand over is tried for a while, no other is. */
    private static NodeConfiguration readAtStart(Path file, Map<String, String> env)
            throws InvalidConfigurationException {
        for (int tries = 1; ; tries++) {
            try {
                return NodeConfiguration.read(file, env);
            } catch (InvalidConfigurationException e) {
                if (e.readable() || tries == READS_AT_START) {
                    throw e;
                }
                LOG.warn("the configuration is read again: {}", e.getMessage());
                LockSupport.parkNanos(REREAD_NANOS);
            }
        }
    }

    /**
     * Each signal has a thread of its own, which may come before there is a node and waits for it then. What fails there
     * is told, and ends nothing.
     */
    private static void handle(String signal, Runnable then) {
        Signal.handle(new Signal(signal), s -> {
            LOG.info("SIG{}", signal);
            try {
                then.run();
            } catch (RuntimeException | StackOverflowError e) {
                LOG.error("SIG{} could not be followed; all goes on as before", signal, e);
            }
        });
    }

    /**
     * A file may be read while it is being replaced: one that cannot be followed is read again for two seconds, and one
     * that cannot be read for thirty. One signal after the other, or a file that was replaced since could be followed last.
     */
    static synchronized void reread(Path file, Map<String, String> env, PlatformNode node) {
        String why = "";
        boolean readable = false;
        for (int i = 0; i < (readable ? REREADS : REREADS_UNREADABLE); i++) {
            try {
                node.reconfigure(NodeConfiguration.read(file, env));
                return;
            } catch (InvalidConfigurationException e) {
                why = e.getMessage();
                readable = e.readable();
                LockSupport.parkNanos(REREAD_NANOS);
            }
        }
        System.err.println("laurelkeel: the configuration before stays in force: " + why);
    }
}

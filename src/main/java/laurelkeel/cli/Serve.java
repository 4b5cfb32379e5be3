package laurelkeel.cli;

import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import laurelkeel.decision.Shifter;
import laurelkeel.front.Front;
import laurelkeel.logs.Sparing;
import laurelkeel.platform.BadConfig;
import laurelkeel.platform.Config;
import laurelkeel.platform.Node;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/** Runs one front node of the users' platform in the foreground, set by its environment (docs/platform.md). */
final class Serve {
    private static final Logger LOG = LoggerFactory.getLogger(Serve.class);
    private static final int REREADS = 20;
    private static final long REREAD_NANOS = 100_000_000;

    private Serve() { }

    static int run(Map<String, String> env) throws Exception {
        String at = env.get("RELAY_CONFIG");
        if (at == null || at.isEmpty()) {
            System.err.println("laurelkeel: RELAY_CONFIG is not set; it must name the configuration");
            return Cli.BAD_INPUT;
        }
        Path file = Path.of(at);
        Config config;
        try {
            config = Config.read(file, env);
        } catch (BadConfig e) {
            System.err.println("laurelkeel: " + e.getMessage());
            return Cli.BAD_INPUT;
        }
        Node node = Node.of(config, Shifter::new);
        Front front = node.front();
        // threads of libraries too: none may die alone
        Thread.setDefaultUncaughtExceptionHandler((thread, e) -> front.fail(e));
        Signal.handle(new Signal("TERM"), s -> {
            LOG.info("SIGTERM");
            front.drain();
        });
        Signal.handle(new Signal("HUP"), s -> {
            LOG.info("SIGHUP: reading {} again", file.getFileName());
            reread(file, env, node);
        });
        front.start();
        Throwable failure = front.ended().get();
        Sparing.flush(Cli.LOGS_MS);
        return failure == null ? 0 : Cli.FAILED;
    }

    /**
     * A file may be read while it is being replaced: one that cannot be followed is read again for two seconds. One
     * signal after the other, or a file that was replaced since could be followed last.
     */
    static synchronized void reread(Path file, Map<String, String> env, Node node) {
        String why = "";
        for (int i = 0; i < REREADS; i++) {
            try {
                node.follow(Config.read(file, env));
                return;
            } catch (BadConfig e) {
                why = e.getMessage();
                LockSupport.parkNanos(REREAD_NANOS);
            }
        }
        System.err.println("laurelkeel: the configuration before stays in force: " + why);
    }
}

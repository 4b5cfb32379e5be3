package laurelkeel.cli;

import java.nio.file.Path;
import java.util.Map;
import laurelkeel.decision.Shifter;
import laurelkeel.front.Front;
import laurelkeel.logs.Sparing;
import laurelkeel.platform.BadConfig;
import laurelkeel.platform.Config;
import laurelkeel.platform.Node;
import sun.misc.Signal;

/** Runs one front node of the users' platform in the foreground, set by its environment (docs/platform.md). */
final class Serve {
    private Serve() { }

    static int run(Map<String, String> env) throws Exception {
        System.setProperty("logback.configurationFile", "logback-text.xml");
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
        Node[] node = new Node[1];
        Front front = Node.front(config, Shifter::new, node);
        // threads of libraries too: none may die alone
        Thread.setDefaultUncaughtExceptionHandler((thread, e) -> front.fail(e));
        Signal.handle(new Signal("TERM"), s -> front.drain());
        Signal.handle(new Signal("HUP"), s -> {
            try {
                node[0].follow(Config.read(file, env));
            } catch (BadConfig e) {
                System.err.println("laurelkeel: the configuration before stays in force: " + e.getMessage());
            }
        });
        front.start();
        Throwable failure = front.ended().get();
        Sparing.flush(Cli.LOGS_MS);
        return failure == null ? 0 : Cli.FAILED;
    }
}

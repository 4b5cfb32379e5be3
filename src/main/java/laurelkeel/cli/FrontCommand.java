package laurelkeel.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import laurelkeel.decision.RoutingDecider;
import laurelkeel.front.FrontNode;
import laurelkeel.front.FrontSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** The command {@code front}: runs one standalone front node until it has drained or failed. */
@Command(
        name = "front",
        mixinStandardHelpOptions = true,
        description = {
            "Runs one front node until it is stopped.",
            "SIGTERM drains it: new requests are rejected, those in flight are answered, then it exits with 0."
        })
@SuppressWarnings("NullAway.Init") // picocli sets the fields
final class FrontCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE.ini", description = "the front's settings; docs/front.md explains each")
    private Path file;

    @Override
    public Integer call() throws Exception {
        FrontSettings settings = FrontSettings.read(file);
        FrontNode node = new FrontNode(settings, RoutingDecider::new);
        Runtime.getRuntime().addShutdownHook(new Thread(new ShutdownDrain(node, settings), "drain"));
        // library threads too: a node that has lost a thread would keep running but work only in part
        Thread.setDefaultUncaughtExceptionHandler((thread, failure) -> node.fail(failure));
        node.start();
        Throwable failure = node.termination().get();
        return failure == null ? 0 : Cli.FAILED;
    }
}

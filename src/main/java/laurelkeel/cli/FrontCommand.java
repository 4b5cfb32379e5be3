package laurelkeel.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import laurelkeel.decision.RoutingDecider;
import laurelkeel.front.FrontNode;
import laurelkeel.front.FrontSettings;
import laurelkeel.logging.RateLimitedAsyncAppender;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

@Command(
        name = "front",
        mixinStandardHelpOptions = true,
        description = {
            "Runs one front until it is told to stop.",
            "SIGTERM drains: new reqs are shed, held ones get their answers, then it ends with 0."
        })
final class FrontCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE.ini", description = "the front's settings; docs/front.md explains each")
    private Path file;

    @Override
    public Integer call() throws Exception {
        FrontSettings set = FrontSettings.read(file);
        FrontNode front = new FrontNode(set, RoutingDecider::new);
        long most = set.decisionSettings().routes().stream()
                        .mapToLong(r -> r.timeoutTicks())
                        .max()
                        .orElse(0)
                + set.ingress().maxDrainTicks();
        Thread hook = new Thread(
                () -> {
                    front.drain();
                    try {
                        front.termination().get(most / 10 + 5_000, TimeUnit.MILLISECONDS);
                    } catch (Exception e) {
                        System.err.println("laurelkeel: the front did not end in its time: " + e);
                    }
                    RateLimitedAsyncAppender.flush(Cli.LOGS_MS);
                },
                "drain");
        Runtime.getRuntime().addShutdownHook(hook);
        // threads of libraries too: none may die alone
        Thread.setDefaultUncaughtExceptionHandler((thread, e) -> front.fail(e));
        front.start();
        Throwable failure = front.termination().get();
        return failure == null ? 0 : Cli.FAILED;
    }
}

package laurelkeel.cli;

import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import laurelkeel.scenario.Scenario;
import laurelkeel.scenario.ScenarioEnvironment;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command {@code standin}: runs all parts of a day except its front nodes until the process is terminated. */
@Command(
        name = "standin",
        mixinStandardHelpOptions = true,
        description = {
            "Runs the endpoints, endpoint list and rollout service of a day file, for front nodes started manually.",
            "Prints their addresses in the form of the front nodes' settings; runs until it receives a signal."
        })
@SuppressWarnings("NullAway.Init") // picocli sets the fields
final class StandinCommand implements Callable<Integer> {
    @Parameters(
            arity = "0..1",
            paramLabel = "DAY",
            defaultValue = "bad-day",
            description = "a shipped day or a file (default: ${DEFAULT-VALUE})")
    private String day;

    @Option(names = "--seed", description = "seed of the random numbers; default: the seed in the file")
    private @Nullable Long seed;

    @Override
    public Integer call() throws Exception {
        Scenario scenario = Scenario.find(day);
        try (ScenarioEnvironment environment =
                new ScenarioEnvironment(scenario, seed == null ? scenario.seed() : seed, unrecorded -> {})) {
            environment.start();
            System.out.printf(
                    "[list]%naddress = 127.0.0.1:%d%nmode = %s%n[release]%naddress = 127.0.0.1:%d%n",
                    environment.endpointListAddress().getPort(),
                    scenario.endpointListPolled() ? "ask" : "push",
                    environment.rolloutServiceAddress().getPort());
            System.out.flush();
            new CountDownLatch(1).await();
        }
        return 0;
    }
}

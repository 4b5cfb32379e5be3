package laurelkeel.cli;

import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import laurelkeel.scenario.Scenario;
import laurelkeel.scenario.ScenarioEnvironment;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
        name = "standin",
        mixinStandardHelpOptions = true,
        description = {
            "Runs the machines, list and release line of a day file, for fronts started by hand.",
            "Prints their addresses for the fronts' settings; ends on a signal."
        })
final class StandinCommand implements Callable<Integer> {
    @Parameters(
            arity = "0..1",
            paramLabel = "DAY",
            defaultValue = "bad-day",
            description = "a shipped day or a file (default: ${DEFAULT-VALUE})")
    private String day;

    @Option(names = "--seed", description = "chance, instead of the file's")
    private Long seed;

    @Override
    public Integer call() throws Exception {
        Scenario plan = Scenario.find(day);
        try (ScenarioEnvironment world = new ScenarioEnvironment(plan, seed == null ? plan.seed() : seed, r -> {})) {
            world.start();
            System.out.printf(
                    "[list]%naddress = 127.0.0.1:%d%nmode = %s%n[release]%naddress = 127.0.0.1:%d%n",
                    world.endpointListAddress().getPort(),
                    plan.endpointListPolled() ? "ask" : "push",
                    world.rolloutServiceAddress().getPort());
            System.out.flush();
            new CountDownLatch(1).await();
        }
        return 0;
    }
}

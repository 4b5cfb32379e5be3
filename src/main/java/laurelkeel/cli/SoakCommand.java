package laurelkeel.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import laurelkeel.soak.FaultLibrary;
import laurelkeel.soak.NodeImage;
import laurelkeel.soak.SoakPlan;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The command {@code soak}: runs real front nodes against faulty stub services and audits the traffic against the
 * rules.
 */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description = {
            "Runs real front nodes against faulty stub services, one run per seed, and audits the traffic on the sockets.",
            "Signals, connection floods, failing system calls and clock steps are generated from the seed (docs/soak.md)."
        })
@SuppressWarnings("NullAway.Init") // picocli sets the fields
final class SoakCommand implements Callable<Integer> {
    @Option(
            names = "--seeds",
            defaultValue = "1-50",
            paramLabel = "FIRST-LAST",
            description = "seeds to run, a range or a single seed; default: ${DEFAULT-VALUE}")
    private String seeds;

    @Option(
            names = "--seconds",
            defaultValue = "10",
            description = "duration of the phase with events in each run, in seconds; default: ${DEFAULT-VALUE}")
    private int seconds;

    @Option(
            names = "--quiet",
            defaultValue = "0",
            description = "duration of the initial phase without events, in seconds; default: ${DEFAULT-VALUE}")
    private int quietSeconds;

    @Option(
            names = "--without",
            split = ",",
            paramLabel = "PART",
            description = {
                "parts to omit from each run, by the names printed with the plan of a run that violates a rule:",
                "event numbers, clock (clock steps), calls (failing system calls)"
            })
    private Set<String> omittedParts = Set.of();

    @Option(
            names = "--shrink",
            description =
                    "after a run that violates a rule, repeat it without each part in turn, to find the parts that the violation needs")
    private boolean shrink;

    @Option(
            names = "--parallel",
            defaultValue = "1",
            description = "number of concurrent runs; each needs two cores; default: ${DEFAULT-VALUE}")
    private int parallel;

    @Option(
            names = "--out",
            defaultValue = "target/soak",
            paramLabel = "DIR",
            description = "folder for logs, configurations and compiled files; default: ${DEFAULT-VALUE}")
    private Path out;

    @Override
    public Integer call() throws Exception {
        SeedRange range;
        try {
            range = SeedRange.parse(seeds);
        } catch (NumberFormatException e) {
            System.err.println("laurelkeel: --seeds must be a range such as 1-50 or a single seed such as 17, but is '"
                    + seeds + "'");
            return Cli.BAD_INPUT;
        }
        if (seconds < 1 || parallel < 1 || quietSeconds < 0 || range.isEmpty()) {
            System.err.println(
                    "laurelkeel: --seconds and --parallel must be above 0, --quiet at least 0, and the range of --seeds must not be empty");
            return Cli.BAD_INPUT;
        }
        Files.createDirectories(out);
        NodeImage image = NodeImage.make(out.toAbsolutePath());
        Optional<Path> faultLibrary = FaultLibrary.build(out.toAbsolutePath());
        if (faultLibrary.isEmpty()) {
            System.out.println(
                    "the fault library could not be compiled (see faults.log, if there is one): no failing system calls or clock steps");
        }
        List<SoakPlan> plans = range.seeds()
                .mapToObj(seed -> SoakPlan.generate(seed, quietSeconds, seconds).without(omittedParts))
                .toList();
        int violatingRuns =
                new SoakSeries(image, faultLibrary, out.toAbsolutePath(), shrink, System.out).execute(plans, parallel);
        return violatingRuns == 0 ? 0 : Cli.RULE_BROKEN;
    }
}

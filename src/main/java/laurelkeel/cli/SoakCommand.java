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

/** The command {@code soak}: runs real front nodes among misbehaving servers and judges them. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description = {
            "Runs real front nodes between stand-ins with faults, one seed a run, and judges them from the sockets.",
            "Signals, crowds, failing system calls and steps of the clock are drawn from the seed (docs/soak.md)."
        })
@SuppressWarnings("NullAway.Init") // picocli sets the fields
final class SoakCommand implements Callable<Integer> {
    @Option(
            names = "--seeds",
            defaultValue = "1-50",
            paramLabel = "FIRST-LAST",
            description = "seeds to play; default: ${DEFAULT-VALUE}")
    private String seeds;

    @Option(
            names = "--seconds",
            defaultValue = "10",
            description = "how long events come in each run; default: ${DEFAULT-VALUE}")
    private int seconds;

    @Option(
            names = "--quiet",
            defaultValue = "0",
            description = "seconds without events at first; default: ${DEFAULT-VALUE}")
    private int quietSeconds;

    @Option(
            names = "--without",
            split = ",",
            paramLabel = "PART",
            description = {
                "parts of a run that are left out, by the names that a broken run prints:",
                "numbers of events, clock, calls"
            })
    private Set<String> without = Set.of();

    @Option(
            names = "--shrink",
            description = "a broken run is played again with ever fewer parts, while it still breaks")
    private boolean shrink;

    @Option(
            names = "--parallel",
            defaultValue = "1",
            description = "runs at a time, each wants two cores; default: ${DEFAULT-VALUE}")
    private int parallel;

    @Option(
            names = "--out",
            defaultValue = "target/soak",
            paramLabel = "DIR",
            description = "for logs; default: ${DEFAULT-VALUE}")
    private Path out;

    @Override
    public Integer call() throws Exception {
        SeedRange range;
        try {
            range = SeedRange.parse(seeds);
        } catch (NumberFormatException e) {
            System.err.println("laurelkeel: --seeds wants FIRST-LAST, as 1-50, and not '" + seeds + "'");
            return Cli.BAD_INPUT;
        }
        if (seconds < 1 || parallel < 1 || quietSeconds < 0 || range.isEmpty()) {
            System.err.println(
                    "laurelkeel: --seconds and --parallel must be above 0, --quiet at least 0, and --seeds must not go down");
            return Cli.BAD_INPUT;
        }
        Files.createDirectories(out);
        NodeImage image = NodeImage.make(out.toAbsolutePath());
        Optional<Path> faults = FaultLibrary.build(out.toAbsolutePath());
        if (faults.isEmpty()) {
            System.out.println("no C compiler: no failing calls, no steps of the clock");
        }
        List<SoakPlan> plans = range.seeds()
                .mapToObj(seed -> SoakPlan.generate(seed, quietSeconds, seconds).without(without))
                .toList();
        int broken = new SoakSeries(image, faults, out.toAbsolutePath(), shrink, System.out).play(plans, parallel);
        return broken == 0 ? 0 : Cli.RULE_BROKEN;
    }
}

package laurelkeel.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import laurelkeel.soak.FaultLibrary;
import laurelkeel.soak.NodeImage;
import laurelkeel.soak.Shrinker;
import laurelkeel.soak.Soak;
import laurelkeel.soak.SoakPlan;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description = {
            "Plays real front nodes between stand-ins with faults, one seed a run, and judges them from the sockets.",
            "Signals, crowds, failing system calls and steps of the clock are drawn from the seed (docs/soak.md)."
        })
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
    private int quiet;

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

    private NodeImage image;
    private Optional<Path> faults;

    @Override
    public Integer call() throws Exception {
        String[] ends = seeds.split("-", 2);
        long first;
        long last;
        try {
            first = Long.parseLong(ends[0]);
            last = ends.length == 1 ? first : Long.parseLong(ends[1]);
        } catch (NumberFormatException e) {
            System.err.println("laurelkeel: --seeds wants FIRST-LAST, as 1-50, and not '" + seeds + "'");
            return Cli.BAD_INPUT;
        }
        if (seconds < 1 || parallel < 1 || quiet < 0 || last < first) {
            System.err.println(
                    "laurelkeel: --seconds and --parallel must be above 0, --quiet at least 0, and --seeds must not go down");
            return Cli.BAD_INPUT;
        }
        Files.createDirectories(out);
        image = NodeImage.make(out.toAbsolutePath());
        faults = FaultLibrary.build(out.toAbsolutePath());
        if (faults.isEmpty()) {
            System.out.println("no C compiler: no failing calls, no steps of the clock");
        }
        ExecutorService runs = Executors.newFixedThreadPool(parallel);
        List<Future<Soak.Result>> results = new ArrayList<>();
        for (long seed = first; seed <= last; seed++) {
            SoakPlan plan = SoakPlan.draw(seed, quiet, seconds).without(without);
            results.add(runs.submit(() -> play(plan)));
        }
        runs.shutdown();
        int broken = 0;
        for (Future<Soak.Result> result : results) {
            broken += report(result.get()) ? 0 : 1;
        }
        System.out.println(results.size() + " seeds, " + broken + " broken");
        return broken == 0 ? 0 : Cli.RULE_BROKEN;
    }

    private Soak.Result play(SoakPlan plan) throws IOException, InterruptedException {
        return Soak.run(plan, image, faults, out.toAbsolutePath().resolve("seed-" + plan.seed()));
    }

    private boolean report(Soak.Result result) throws Exception {
        boolean kept = result.broken().isEmpty();
        System.out.println("seed " + result.plan().seed() + (kept ? " kept: " : " BROKEN: ") + result.counts());
        if (!kept) {
            result.broken().forEach(each -> System.out.println("    " + each));
            SoakPlan plan = shrink
                    ? Shrinker.shrink(
                            result.plan(), each -> !play(each).broken().isEmpty())
                    : result.plan();
            System.out.println("    drawn: " + plan);
            System.out.println("    again: bin/laurelkeel soak --seeds " + plan.seed() + " --seconds " + seconds
                    + (quiet > 0 ? " --quiet " + quiet : "")
                    + (plan.leftOut().isEmpty() ? "" : " --without " + String.join(",", plan.leftOut())));
        }
        return kept;
    }
}

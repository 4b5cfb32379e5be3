package laurelkeel.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import laurelkeel.soak.NodeImage;
import laurelkeel.soak.Soak;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(name = "soak", mixinStandardHelpOptions = true, description = {
    "Plays real front nodes between stand-ins with faults, one seed a run, and judges them from the sockets.",
    "Signals, crowds, failing system calls and steps of the clock are drawn from the seed (docs/soak.md)."})
final class SoakCommand implements Callable<Integer> {
    @Option(names = "--seeds", defaultValue = "1-50", paramLabel = "FIRST-LAST", description = "seeds to play; default: ${DEFAULT-VALUE}")
    private String seeds;

    @Option(names = "--seconds", defaultValue = "10", description = "how long events come in each run; default: ${DEFAULT-VALUE}")
    private int seconds;

    @Option(names = "--parallel", defaultValue = "1", description = "runs at a time, each wants two cores; default: ${DEFAULT-VALUE}")
    private int parallel;

    @Option(names = "--out", defaultValue = "target/soak", paramLabel = "DIR", description = "for logs; default: ${DEFAULT-VALUE}")
    private Path out;

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
        if (seconds < 1 || parallel < 1 || last < first) {
            System.err.println("laurelkeel: --seconds and --parallel must be above 0, and --seeds must not go down");
            return Cli.BAD_INPUT;
        }
        Files.createDirectories(out);
        NodeImage image = NodeImage.make(out.toAbsolutePath());
        ExecutorService runs = Executors.newFixedThreadPool(parallel);
        List<Future<Soak.Result>> results = new ArrayList<>();
        for (long seed = first; seed <= last; seed++) {
            long each = seed;
            results.add(runs.submit(() -> Soak.run(each, seconds, image, out.toAbsolutePath().resolve("seed-" + each))));
        }
        runs.shutdown();
        int broken = 0;
        for (Future<Soak.Result> result : results) {
            broken += report(result.get()) ? 0 : 1;
        }
        System.out.println(results.size() + " seeds, " + broken + " broken");
        return broken == 0 ? 0 : Cli.RULE_BROKEN;
    }

    private boolean report(Soak.Result result) {
        boolean kept = result.broken().isEmpty();
        System.out.println("seed " + result.seed() + (kept ? " kept: " : " BROKEN: ") + result.counts());
        if (!kept) {
            result.broken().forEach(each -> System.out.println("    " + each));
            System.out.println("    drawn: " + result.drawn());
            System.out.println("    again: bin/laurelkeel soak --seeds " + result.seed() + " --seconds " + seconds);
        }
        return kept;
    }
}

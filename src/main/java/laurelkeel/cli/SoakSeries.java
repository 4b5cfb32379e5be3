package laurelkeel.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import laurelkeel.soak.NodeImage;
import laurelkeel.soak.Shrinker;
import laurelkeel.soak.SoakPlan;
import laurelkeel.soak.SoakResult;
import laurelkeel.soak.SoakRun;

/** Executes soak runs, several at a time, and prints the result of each. */
final class SoakSeries {
    private final NodeImage image;
    private final Optional<Path> faultLibrary;
    private final Path folder;
    private final boolean shrinkEnabled;
    private final PrintStream out;

    /**
     * Creates a series.
     *
     * @param folder the folder in which each run creates its own
     * @param shrinkEnabled whether a plan that breaks a rule is reduced to the parts that are needed to break it
     */
    SoakSeries(NodeImage image, Optional<Path> faultLibrary, Path folder, boolean shrinkEnabled, PrintStream out) {
        this.image = image;
        this.faultLibrary = faultLibrary;
        this.folder = folder;
        this.shrinkEnabled = shrinkEnabled;
        this.out = out;
    }

    /**
     * Executes all plans and returns how many of them broke a rule.
     *
     * @param parallel the number of concurrent runs
     * @throws Exception if a run cannot be executed
     */
    int execute(List<SoakPlan> plans, int parallel) throws Exception {
        ExecutorService executor = Executors.newFixedThreadPool(parallel);
        List<Future<SoakResult>> results = new ArrayList<>();
        for (SoakPlan plan : plans) {
            results.add(executor.submit(() -> execute(plan)));
        }
        executor.shutdown();
        int violatingRuns = 0;
        for (Future<SoakResult> result : results) {
            violatingRuns += report(result.get()) ? 0 : 1;
        }
        out.println(results.size() + " seeds, " + violatingRuns + " broken");
        return violatingRuns;
    }

    private SoakResult execute(SoakPlan plan) throws IOException, InterruptedException {
        return SoakRun.run(plan, image, faultLibrary, folder.resolve("seed-" + plan.seed()));
    }

    /** Prints one result and returns whether all rules were kept. */
    private boolean report(SoakResult result) throws Exception {
        boolean kept = result.violations().isEmpty();
        out.println("seed " + result.plan().seed() + (kept ? " kept: " : " BROKEN: ") + result.counts());
        if (!kept) {
            result.violations().forEach(violation -> out.println("    " + violation));
            SoakPlan plan = shrinkEnabled ? shrink(result.plan()) : result.plan();
            out.println("    plan: " + plan);
            out.println("    rerun: bin/laurelkeel soak " + options(plan));
        }
        return kept;
    }

    private SoakPlan shrink(SoakPlan plan) throws Exception {
        return Shrinker.shrink(plan, smaller -> !execute(smaller).violations().isEmpty());
    }

    /** Returns the command-line options that execute this plan again. */
    private static String options(SoakPlan plan) {
        StringBuilder options = new StringBuilder("--seeds " + plan.seed() + " --seconds " + plan.seconds());
        if (plan.quietSeconds() > 0) {
            options.append(" --quiet ").append(plan.quietSeconds());
        }
        if (!plan.excludedParts().isEmpty()) {
            options.append(" --without ").append(String.join(",", plan.excludedParts()));
        }
        return options.toString();
    }
}

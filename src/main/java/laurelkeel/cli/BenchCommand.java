package laurelkeel.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import laurelkeel.bench.AttributionBenchmark;
import laurelkeel.bench.BareRelay;
import laurelkeel.bench.DecisionBenchmark;
import laurelkeel.bench.DecisionStreams;
import laurelkeel.bench.FrontBenchmark;
import laurelkeel.bench.PartitionBenchmark;
import laurelkeel.decision.RoutingDecider;
import laurelkeel.soak.NodeImage;
import laurelkeel.soak.ScaleBench;
import laurelkeel.soak.ScaleProfile;
import org.jspecify.annotations.Nullable;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.options.ChainedOptionsBuilder;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The command {@code bench}: its subcommands measure, and {@code docs/results} keeps their tables. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = "Measures; docs/results/ keeps the tables.",
        subcommands = {
            BenchCommand.DecisionsCommand.class,
            BenchCommand.StreamsCommand.class,
            BenchCommand.FrontBenchCommand.class,
            BenchCommand.BareRelayCommand.class,
            BenchCommand.AttributionBenchCommand.class,
            BenchCommand.PartitionBenchCommand.class,
            BenchCommand.ScaleBenchCommand.class
        })
@SuppressWarnings("NullAway.Init") // picocli sets the fields
final class BenchCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(System.err);
        return Cli.BAD_INPUT;
    }

    /** Measures the decisions alone with JMH. */
    @Command(
            name = "decisions",
            mixinStandardHelpOptions = true,
            description = "What a request costs the decider alone (JMH), by endpoints and phase.")
    static final class DecisionsCommand implements Callable<Integer> {
        @Option(names = "--allocation", description = "also what it allocates")
        private boolean allocation;

        @Override
        public Integer call() throws Exception {
            ChainedOptionsBuilder options = new OptionsBuilder().include(DecisionBenchmark.class.getName() + ".*");
            if (allocation) {
                options.addProfiler(GCProfiler.class);
            }
            new Runner(options.build()).run();
            return 0;
        }
    }

    /** Prints the checksums of all actions in the generated event streams. */
    @Command(
            name = "streams",
            mixinStandardHelpOptions = true,
            description =
                    "Checksums of all actions in generated event streams, to compare two versions of the decisions.")
    static final class StreamsCommand implements Callable<Integer> {
        private static final int FIRST_SEED = 100;
        private static final int LAST_SEED = 115;

        @Override
        public Integer call() {
            for (int seed = FIRST_SEED; seed <= LAST_SEED; seed++) {
                System.out.println(seed + " " + DecisionStreams.actionChecksum(RoutingDecider::new, seed));
            }
            return 0;
        }
    }

    /** Measures a front node beside a bare relay. */
    @Command(
            name = "front",
            mixinStandardHelpOptions = true,
            description = "A front beside a bare relay: throughput, time added, CPU, allocation, memory.")
    @SuppressWarnings("NullAway.Init") // picocli sets the fields
    static final class FrontBenchCommand implements Callable<Integer> {
        @Option(names = "--machines", split = ",", defaultValue = "10,300", description = "default: ${DEFAULT-VALUE}")
        private List<Integer> endpointCounts;

        @Option(
                names = "--seconds",
                defaultValue = "8",
                description = "measured time of each phase, after as much to warm up (default: ${DEFAULT-VALUE})")
        private double seconds;

        @Option(names = "--java-option", description = "more for the measured processes; @NAME@ becomes front or relay")
        private List<String> javaOptions = List.of();

        @Option(
                names = "--rounds",
                defaultValue = "3",
                description = "relay and front in turn (default: ${DEFAULT-VALUE})")
        private int rounds;

        @Option(names = "--idle", defaultValue = "10000", description = "idle connections (default: ${DEFAULT-VALUE})")
        private int idleConnections;

        @Option(
                names = "--out",
                defaultValue = "target/bench-front",
                description = "folder (default: ${DEFAULT-VALUE})")
        private Path out;

        @Override
        public Integer call() throws Exception {
            new FrontBenchmark(out, seconds, javaOptions, System.out).run(endpointCounts, rounds, idleConnections);
            return 0;
        }
    }

    /** Judges generated release days by the attribution and by naive rules. */
    @Command(
            name = "blame",
            mixinStandardHelpOptions = true,
            description = "Generated release days judged by the attribution and by naive rules: a table and charts.")
    @SuppressWarnings("NullAway.Init") // picocli sets the fields
    static final class AttributionBenchCommand implements Callable<Integer> {
        @Option(names = "--days", defaultValue = "100", description = "of each kind of bad (default: ${DEFAULT-VALUE})")
        private int badDays;

        @Option(names = "--honest", defaultValue = "400", description = "with no bad build (default: ${DEFAULT-VALUE})")
        private int honestDays;

        @Option(names = "--seed", defaultValue = "1", description = "default: ${DEFAULT-VALUE}")
        private long seed;

        @Option(names = "--charts", paramLabel = "FOLDER", description = "where two charts go")
        private @Nullable Path charts;

        @Override
        public Integer call() throws Exception {
            AttributionBenchmark.run(badDays, honestDays, seed, charts, System.out);
            return 0;
        }
    }

    /** Measures what several rollouts at a time cost. */
    @Command(
            name = "lanes",
            mixinStandardHelpOptions = true,
            description = "What three releases cost a request beside one, and many fronts' reports the attribution.")
    static final class PartitionBenchCommand implements Callable<Integer> {
        @Option(names = "--rounds", defaultValue = "7", description = "default: ${DEFAULT-VALUE}")
        private int rounds;

        @Option(names = "--reqs", defaultValue = "100000", description = "a round (default: ${DEFAULT-VALUE})")
        private int requests;

        @Override
        public Integer call() {
            PartitionBenchmark.run(rounds, requests, System.out);
            return 0;
        }
    }

    /** Measures a real node as its endpoints become more and smaller. */
    @Command(
            name = "scale",
            mixinStandardHelpOptions = true,
            description = {
                "What a real node needs as the endpoints become more and smaller: CPU, memory, descriptors, connections, lists.",
                "The first scale is the usual size; what goes past the acceptance's limits is printed."
            })
    @SuppressWarnings("NullAway.Init") // picocli sets the fields
    static final class ScaleBenchCommand implements Callable<Integer> {
        @Option(
                names = "--profiles",
                split = ",",
                defaultValue = "THIN,SMALL,BUSY",
                description = "default: ${DEFAULT-VALUE}")
        private List<ScaleProfile> profiles;

        @Option(names = "--scales", split = ",", defaultValue = "1,4,16", description = "default: ${DEFAULT-VALUE}")
        private List<Integer> scales;

        @Option(names = "--seconds", defaultValue = "40", description = "of each run (default: ${DEFAULT-VALUE})")
        private int seconds;

        @Option(names = "--seed", defaultValue = "1", description = "default: ${DEFAULT-VALUE}")
        private long seed;

        @Option(
                names = "--out",
                defaultValue = "target/bench-scale",
                description = "folder (default: ${DEFAULT-VALUE})")
        private Path out;

        @Override
        public Integer call() throws Exception {
            if (seconds < 1 || scales.stream().anyMatch(scale -> scale < 1)) {
                System.err.println("laurelkeel: --seconds and --scales must be above 0");
                return Cli.BAD_INPUT;
            }
            Files.createDirectories(out);
            NodeImage image = NodeImage.make(out.toAbsolutePath());
            System.out.println(ScaleBench.HEADER);
            for (ScaleProfile profile : profiles) {
                ScaleBench.run(profile, scales, seconds, seed, image, out.toAbsolutePath(), System.out);
            }
            return 0;
        }
    }

    /** Runs the bare relay, as a process that {@link FrontBenchCommand} starts. */
    @Command(name = "relay", hidden = true, description = "The bare relay: LISTEN ADMIN PORT,PORT...")
    @SuppressWarnings("NullAway.Init") // picocli sets the fields
    static final class BareRelayCommand implements Callable<Integer> {
        @Parameters(index = "0")
        private int listenPort;

        @Parameters(index = "1")
        private int adminPort;

        @Parameters(index = "2", split = ",")
        private List<Integer> endpointPorts;

        @Override
        public Integer call() throws Exception {
            new BareRelay(listenPort, adminPort, endpointPorts);
            new CountDownLatch(1).await();
            return 0;
        }
    }
}

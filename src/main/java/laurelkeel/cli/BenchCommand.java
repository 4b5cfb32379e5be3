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

/** The command {@code bench}: its subcommands run benchmarks, whose tables are stored in {@code docs/results}. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = "Runs benchmarks; docs/results/ has their tables.",
        subcommands = {
            BenchCommand.DecisionsCommand.class,
            BenchCommand.StreamsCommand.class,
            BenchCommand.FrontBenchCommand.class,
            BenchCommand.BareRelayCommand.class,
            BenchCommand.AttributionBenchCommand.class,
            BenchCommand.PartitionBenchCommand.class,
            BenchCommand.ScaleBenchCommand.class,
            DepartureBenchCommand.class,
            FloodBenchCommand.class
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

    /** Measures the decider by itself with JMH. */
    @Command(
            name = "decisions",
            mixinStandardHelpOptions = true,
            description = "Measures the decider's cost per request with JMH, by number of endpoints and phase.")
    static final class DecisionsCommand implements Callable<Integer> {
        @Option(names = "--allocation", description = "also measure allocation")
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

    /** Prints the checksums of all actions that the decider returns for generated event streams. */
    @Command(
            name = "streams",
            mixinStandardHelpOptions = true,
            description =
                    "Prints checksums of all actions for generated event streams, to compare two versions of the decider.")
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

    /** Compares a front node with a bare relay. */
    @Command(
            name = "front",
            mixinStandardHelpOptions = true,
            description = "Compares a front with a bare relay: throughput, added latency, CPU, allocation, memory.")
    @SuppressWarnings("NullAway.Init") // picocli sets the fields
    static final class FrontBenchCommand implements Callable<Integer> {
        @Option(names = "--machines", split = ",", defaultValue = "10,300", description = "default: ${DEFAULT-VALUE}")
        private List<Integer> endpointCounts;

        @Option(
                names = "--seconds",
                defaultValue = "8",
                description =
                        "measured duration of each phase, after a warm-up of the same length (default: ${DEFAULT-VALUE})")
        private double seconds;

        @Option(
                names = "--java-option",
                description = "additional option for the measured JVMs; @NAME@ is replaced by front or relay")
        private List<String> javaOptions = List.of();

        @Option(
                names = "--rounds",
                defaultValue = "3",
                description = "rounds, each with a relay and a front (default: ${DEFAULT-VALUE})")
        private int rounds;

        @Option(
                names = "--idle",
                defaultValue = "10000",
                description = "number of idle connections (default: ${DEFAULT-VALUE})")
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

    /** Compares the attribution with naive rules on generated rollout days. */
    @Command(
            name = "blame",
            mixinStandardHelpOptions = true,
            description = "Compares the attribution with naive rules on generated rollout days: a table and charts.")
    @SuppressWarnings("NullAway.Init") // picocli sets the fields
    static final class AttributionBenchCommand implements Callable<Integer> {
        @Option(
                names = "--days",
                defaultValue = "100",
                description = "days of each kind of fault (default: ${DEFAULT-VALUE})")
        private int daysPerFault;

        @Option(
                names = "--honest",
                defaultValue = "400",
                description = "days without a bad build (default: ${DEFAULT-VALUE})")
        private int faultlessDays;

        @Option(names = "--seed", defaultValue = "1", description = "default: ${DEFAULT-VALUE}")
        private long seed;

        @Option(names = "--charts", paramLabel = "FOLDER", description = "folder for two charts")
        private @Nullable Path chartFolder;

        @Override
        public Integer call() throws Exception {
            AttributionBenchmark.run(daysPerFault, faultlessDays, seed, chartFolder, System.out);
            return 0;
        }
    }

    /** Measures the cost of concurrent rollouts. */
    @Command(
            name = "lanes",
            mixinStandardHelpOptions = true,
            description =
                    "Measures the cost per request of three concurrent rollouts and of one, and of attribution with many front nodes.")
    static final class PartitionBenchCommand implements Callable<Integer> {
        @Option(names = "--rounds", defaultValue = "7", description = "default: ${DEFAULT-VALUE}")
        private int rounds;

        @Option(
                names = "--reqs",
                defaultValue = "100000",
                description = "requests per round (default: ${DEFAULT-VALUE})")
        private int requests;

        @Override
        public Integer call() {
            PartitionBenchmark.run(rounds, requests, System.out);
            return 0;
        }
    }

    /** Measures a real node as the number of endpoints grows and each of them gets smaller. */
    @Command(
            name = "scale",
            mixinStandardHelpOptions = true,
            description = {
                "Measures a real node with increasing numbers of smaller endpoints: CPU, memory, descriptors, connections, endpoint lists.",
                "The first scale is the normal size; figures above the acceptance limits are printed."
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

        @Option(
                names = "--seconds",
                defaultValue = "40",
                description = "duration of each run (default: ${DEFAULT-VALUE})")
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

    /** Runs the bare relay, in a process that {@link FrontBenchCommand} starts. */
    @Command(name = "relay", hidden = true, description = "Runs the bare relay: LISTEN ADMIN PORT,PORT...")
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

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
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.options.ChainedOptionsBuilder;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = "Measures; docs/results/ keeps the tables.",
        subcommands = {
            BenchCommand.Decisions.class,
            BenchCommand.StreamSums.class,
            BenchCommand.FrontBeside.class,
            BenchCommand.RelayAlone.class,
            BenchCommand.BlameDays.class,
            BenchCommand.LanesCost.class,
            BenchCommand.Scale.class
        })
final class BenchCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(System.err);
        return Cli.BAD_INPUT;
    }

    @Command(
            name = "decisions",
            mixinStandardHelpOptions = true,
            description = "What a req costs the decider alone (JMH), by machines and phase.")
    static final class Decisions implements Callable<Integer> {
        @Option(names = "--allocation", description = "also what it allocates")
        private boolean allocation;

        @Override
        public Integer call() throws Exception {
            ChainedOptionsBuilder o = new OptionsBuilder().include(DecisionBenchmark.class.getName() + ".*");
            if (allocation) {
                o.addProfiler(GCProfiler.class);
            }
            new Runner(o.build()).run();
            return 0;
        }
    }

    @Command(
            name = "streams",
            mixinStandardHelpOptions = true,
            description =
                    "Checksums of all actions in generated event streams, to hold two versions of the module apart.")
    static final class StreamSums implements Callable<Integer> {
        @Override
        public Integer call() {
            for (int seed = 100; seed < 116; seed++) {
                System.out.println(seed + " " + DecisionStreams.sum(RoutingDecider::new, seed));
            }
            return 0;
        }
    }

    @Command(
            name = "front",
            mixinStandardHelpOptions = true,
            description = "A front beside a bare relay: throughput, time added, CPU, allocation, memory.")
    static final class FrontBeside implements Callable<Integer> {
        @Option(names = "--machines", split = ",", defaultValue = "10,300", description = "default: ${DEFAULT-VALUE}")
        private List<Integer> machines;

        @Option(
                names = "--seconds",
                defaultValue = "8",
                description = "measured time of each phase, after as much to " + "warm up (default: ${DEFAULT-VALUE})")
        private double seconds;

        @Option(names = "--java-option", description = "more for the measured processes; @NAME@ becomes front or relay")
        private List<String> javaOptions = List.of();

        @Option(
                names = "--rounds",
                defaultValue = "3",
                description = "relay and front in turn (default: " + "${DEFAULT-VALUE})")
        private int rounds;

        @Option(names = "--idle", defaultValue = "10000", description = "idle connections (default: ${DEFAULT-VALUE})")
        private int idle;

        @Option(
                names = "--out",
                defaultValue = "target/bench-front",
                description = "folder (default: ${DEFAULT-VALUE})")
        private Path out;

        @Override
        public Integer call() throws Exception {
            new FrontBenchmark(out, seconds, javaOptions, System.out).run(machines, rounds, idle);
            return 0;
        }
    }

    @Command(
            name = "blame",
            mixinStandardHelpOptions = true,
            description = "Made-up release days judged by the blame and by naive ways: a table and charts.")
    static final class BlameDays implements Callable<Integer> {
        @Option(names = "--days", defaultValue = "100", description = "of each kind of bad (default: ${DEFAULT-VALUE})")
        private int days;

        @Option(names = "--honest", defaultValue = "400", description = "with no bad build (default: ${DEFAULT-VALUE})")
        private int honest;

        @Option(names = "--seed", defaultValue = "1", description = "default: ${DEFAULT-VALUE}")
        private long seed;

        @Option(names = "--charts", paramLabel = "FOLDER", description = "where two charts go")
        private Path charts;

        @Override
        public Integer call() throws Exception {
            AttributionBenchmark.run(days, honest, seed, charts, System.out);
            return 0;
        }
    }

    @Command(
            name = "lanes",
            mixinStandardHelpOptions = true,
            description = "What three releases cost a req beside one, and many fronts' reports the blame.")
    static final class LanesCost implements Callable<Integer> {
        @Option(names = "--rounds", defaultValue = "7", description = "default: ${DEFAULT-VALUE}")
        private int rounds;

        @Option(names = "--reqs", defaultValue = "100000", description = "a round (default: ${DEFAULT-VALUE})")
        private int reqs;

        @Override
        public Integer call() {
            PartitionBenchmark.run(rounds, reqs, System.out);
            return 0;
        }
    }

    @Command(
            name = "scale",
            mixinStandardHelpOptions = true,
            description = {
                "What a real node needs as the machines become more and smaller: CPU, memory, descriptors, connections, lists.",
                "The first scale is the usual size; what goes past the acceptance's limits is printed."
            })
    static final class Scale implements Callable<Integer> {
        @Option(
                names = "--profiles",
                split = ",",
                defaultValue = "THIN,SMALL,BUSY",
                description = "default: ${DEFAULT-VALUE}")
        private List<ScaleBench.Profile> profiles;

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
            for (ScaleBench.Profile profile : profiles) {
                ScaleBench.run(profile, scales, seconds, seed, image, out.toAbsolutePath(), System.out);
            }
            return 0;
        }
    }

    @Command(name = "relay", hidden = true, description = "The bare relay: LISTEN ADMIN PORT,PORT...")
    static final class RelayAlone implements Callable<Integer> {
        @Parameters(index = "0")
        private int listen;

        @Parameters(index = "1")
        private int admin;

        @Parameters(index = "2", split = ",")
        private List<Integer> ports;

        @Override
        public Integer call() throws Exception {
            new BareRelay(listen, admin, ports);
            new CountDownLatch(1).await();
            return 0;
        }
    }
}

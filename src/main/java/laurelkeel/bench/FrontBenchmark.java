package laurelkeel.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import laurelkeel.bench.MeasuredProcess.Program;
import laurelkeel.bench.MeasuredProcess.Usage;

/**
 * Compares a front node with a bare relay, each in a separate process, with the same endpoints and under the same load.
 */
public final class FrontBenchmark {
    private static final int CONNECTIONS = 128;
    private static final int IDLE_ENDPOINTS = 10;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double NANOS_PER_MICROSECOND = 1000.0;
    private static final double KIBIBYTES_PER_MEBIBYTE = 1024;
    private static final double MEDIAN = 50;
    private static final double PERCENTILE_99 = 99;

    private final Path folder;
    private final double seconds;
    private final List<String> javaOptions;
    private final PrintStream out;

    /**
     * Creates a benchmark.
     *
     * @param folder folder for the settings and logs of the processes
     * @param seconds measured duration of each phase
     * @param javaOptions further Java options for the measured processes; @NAME@ in them is replaced by front or relay
     * @param out stream for the tables
     */
    public FrontBenchmark(Path folder, double seconds, List<String> javaOptions, PrintStream out) {
        this.folder = folder;
        this.seconds = seconds;
        this.javaOptions = List.copyOf(javaOptions);
        this.out = out;
    }

    /**
     * The results of one process in one round.
     *
     * @param closedLoop results with all connections busy
     * @param cpuMicros processor time for each request with all connections busy
     * @param allocatedBytes bytes allocated for each request with all connections busy
     * @param fixedRate results at a fixed rate
     */
    private record Measurement(
            Program program,
            LoadClient.Result closedLoop,
            double cpuMicros,
            double allocatedBytes,
            LoadClient.Result fixedRate) {
        double latencyMicros(double percentile) {
            return fixedRate.latencies().getValueAtPercentile(percentile) / NANOS_PER_MICROSECOND;
        }
    }

    /** The results of the relay and of the front node in one round. */
    private record Round(Measurement relay, Measurement front) {
        double throughputRatio() {
            return front.closedLoop.perSecond() / relay.closedLoop.perSecond();
        }

        double cpuRatio() {
            return front.cpuMicros / relay.cpuMicros;
        }

        double allocationRatio() {
            return front.allocatedBytes / relay.allocatedBytes;
        }

        double addedMicros(double percentile) {
            return front.latencyMicros(percentile) - relay.latencyMicros(percentile);
        }
    }

    /**
     * Prints a table with the results for each number of endpoints, and the memory that idle connections need.
     *
     * @param rounds number of rounds, each of which measures the relay and then the front node
     * @throws IOException if a process does not start or cannot be reached
     */
    public void run(List<Integer> endpointCounts, int rounds, int idleConnections) throws IOException {
        out.printf(
                "%-8s %-6s %10s %12s %12s %10s %10s %10s %8s%n",
                "machines", "", "reqs/s", "CPU us/req", "bytes/req", "at rate", "p50 us", "p99 us", "failed");
        for (int endpoints : endpointCounts) {
            try (EchoServers servers = new EchoServers(endpoints)) {
                compare(servers, endpoints, rounds);
            }
        }
        measureIdleConnections(idleConnections);
    }

    private void compare(EchoServers servers, int endpoints, int rounds) throws IOException {
        // half of the relay's throughput with all connections busy, for both programs
        double rate = measureThroughput(Program.RELAY, servers) / 2;
        List<Round> measured = new ArrayList<>();
        for (int i = 0; i < rounds; i++) {
            // alternating, so that other load on the host affects both
            Measurement relay = measure(Program.RELAY, servers, rate);
            print(endpoints, relay, rate);
            Measurement front = measure(Program.FRONT, servers, rate);
            print(endpoints, front, rate);
            measured.add(new Round(relay, front));
        }
        out.printf(
                Locale.ROOT,
                "%-8d median of %d, front to relay: throughput %.2f, CPU %.2f, bytes %.2f; added"
                        + " at half load: p50 %.0f us, p99 %.0f us%n",
                endpoints,
                rounds,
                Medians.of(measured, Round::throughputRatio),
                Medians.of(measured, Round::cpuRatio),
                Medians.of(measured, Round::allocationRatio),
                Medians.of(measured, round -> round.addedMicros(MEDIAN)),
                Medians.of(measured, round -> round.addedMicros(PERCENTILE_99)));
    }

    private MeasuredProcess start(Program program, EchoServers servers) throws IOException {
        return MeasuredProcess.start(program, folder, javaOptions, servers.ports());
    }

    /** Returns the requests a second that the program completes with all connections busy. */
    private double measureThroughput(Program program, EchoServers servers) throws IOException {
        try (MeasuredProcess process = start(program, servers);
                LoadClient load = new LoadClient(process.address(), CONNECTIONS)) {
            return load.runClosedLoop(seconds, seconds, () -> {}).perSecond();
        }
    }

    private Measurement measure(Program program, EchoServers servers, double rate) throws IOException {
        try (MeasuredProcess process = start(program, servers);
                LoadClient load = new LoadClient(process.address(), CONNECTIONS)) {
            UsageMeter meter = new UsageMeter(process);
            LoadClient.Result closedLoop = load.runClosedLoop(seconds, seconds, meter);
            Usage used = meter.used();
            double cpuMicros = used.cpuSeconds() * MICROS_PER_SECOND / closedLoop.completed();
            double allocatedBytes = used.allocatedBytes() / closedLoop.completed();
            LoadClient.Result fixedRate = load.runAtRate(rate, seconds / 4, seconds);
            return new Measurement(program, closedLoop, cpuMicros, allocatedBytes, fixedRate);
        }
    }

    private void print(int endpoints, Measurement measurement, double rate) {
        out.printf(
                Locale.ROOT,
                "%-8d %-6s %10.0f %12.1f %12.0f %10.0f %10.0f %10.0f %8d%n",
                endpoints,
                measurement.program.label(),
                measurement.closedLoop.perSecond(),
                measurement.cpuMicros,
                measurement.allocatedBytes,
                rate,
                measurement.latencyMicros(MEDIAN),
                measurement.latencyMicros(PERCENTILE_99),
                measurement.closedLoop.failed() + measurement.fixedRate.failed());
    }

    private void measureIdleConnections(int connections) throws IOException {
        try (EchoServers servers = new EchoServers(IDLE_ENDPOINTS)) {
            for (Program program : List.of(Program.RELAY, Program.FRONT)) {
                measureIdleConnections(program, servers, connections);
            }
        }
    }

    private void measureIdleConnections(Program program, EchoServers servers, int connections) throws IOException {
        try (MeasuredProcess process = start(program, servers)) {
            double before = process.residentMebibytes();
            LoadClient load = new LoadClient(process.address(), connections);
            try {
                double added = process.residentMebibytes() - before;
                out.printf(
                        Locale.ROOT,
                        "%d idle client connections, %s: %.1f MiB more, %.1f KiB each%n",
                        connections,
                        program.label(),
                        added,
                        added * KIBIBYTES_PER_MEBIBYTE / connections);
            } finally {
                load.close();
            }
        }
    }
}

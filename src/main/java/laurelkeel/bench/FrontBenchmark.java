package laurelkeel.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import laurelkeel.testbed.PortAllocator;

/** A front and a bare relay, each a process of its own, before the same machines under the same load, in turn. */
public final class FrontBenchmark {
    private static final String SETTINGS =
            """
            [front]
            number = 0
            fronts = 1
            listen = 127.0.0.1:%d
            admin = 127.0.0.1:%d
            [route look]
            path = /look
            effect = retriable
            objective = 500 ms
            timeout = 5 s
            [rollout]
            stage-caps = 0.1, 1
            [clients]
            connections = 50000
            """;

    private final Path folder;
    private final double seconds;
    private final List<String> javaOptions;
    private final PrintStream out;
    private final HttpClient http = HttpClient.newHttpClient();

    /** @param javaOptions more options for the measured processes; @NAME@ in them becomes front or relay */
    public FrontBenchmark(Path folder, double seconds, List<String> javaOptions, PrintStream out) {
        this.javaOptions = List.copyOf(javaOptions);
        this.folder = folder;
        this.seconds = seconds;
        this.out = out;
    }

    /** One process under load. */
    private final class Subject implements AutoCloseable {
        final String name;
        final Process process;
        final InetSocketAddress at;
        private final int admin;
        private double cpu, bytes;

        Subject(String name, List<Integer> ports) throws IOException {
            this.name = name;
            int listen = PortAllocator.allocate();
            admin = PortAllocator.allocate();
            at = new InetSocketAddress("127.0.0.1", listen);
            Path home = folder.resolve(name);
            Files.createDirectories(home.resolve("state"));
            List<String> command = new ArrayList<>(List.of(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xms256m", "-Xmx1g"));
            javaOptions.forEach(o -> command.add(o.replace("@NAME@", name)));
            command.addAll(List.of("-cp", System.getProperty("java.class.path"), "laurelkeel.cli.Main"));
            if (name.equals("front")) {
                Files.writeString(home.resolve("front.ini"), SETTINGS.formatted(listen, admin));
                Files.writeString(
                        home.resolve("state").resolve("list.json"),
                        ports.stream()
                                .map(p -> "{\"machine\":"
                                        + "\"127.0.0.1:" + p
                                        + "\",\"build\":1,\"zone\":\"here\",\"cell\":0,\"kind\":0,\"size\":1,"
                                        + "\"state\":\"live\",\"run\":1,\"ageMs\":-1}")
                                .collect(Collectors.joining(",", "[", "]")));
                command.addAll(List.of("front", home.resolve("front.ini").toString()));
            } else {
                command.addAll(List.of(
                        "bench",
                        "relay",
                        Integer.toString(listen),
                        Integer.toString(admin),
                        ports.stream().map(String::valueOf).collect(Collectors.joining(","))));
            }
            process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(home.resolve("log.txt").toFile())
                    .start();
            for (int i = 0; !reachable(); i++) {
                if (!process.isAlive() || i > 500) {
                    throw new IOException("the " + name + " did not start; see " + home.resolve("log.txt"));
                }
                LockSupport.parkNanos(20_000_000);
            }
        }

        private boolean reachable() {
            try (Socket s = new Socket()) {
                s.connect(at, 200);
                return true;
            } catch (IOException e) {
                return false;
            }
        }

        double metric(String metric) {
            try {
                String text = http.send(
                                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + admin + "/metrics"))
                                        .build(),
                                HttpResponse.BodyHandlers.ofString())
                        .body();
                return text.lines()
                        .filter(l -> l.startsWith(metric + " "))
                        .mapToDouble(l -> Double.parseDouble(l.substring(metric.length() + 1)))
                        .findFirst()
                        .orElseThrow();
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        /** Called at both ends of a measured time: what was used between is left in cpu and bytes. */
        void mark() {
            cpu = metric("laurelkeel_process_cpu_seconds") - cpu;
            bytes = metric("laurelkeel_allocated_bytes") - bytes;
        }

        void fresh() {
            cpu = 0;
            bytes = 0;
        }

        /** The resident memory, in MiB. */
        double resident() throws IOException {
            return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                            .filter(l -> l.startsWith("VmRSS"))
                            .mapToDouble(l -> Double.parseDouble(l.replaceAll("\\D", "")))
                            .findFirst()
                            .orElse(0)
                    / 1024;
        }

        @Override
        public void close() {
            process.destroy();
        }
    }

    private record Row(String name, LoadClient.Result full, double cpuUs, double bytes, LoadClient.Result half) {}

    /** Prints a table a number of machines, and the memory of idle connections. */
    public void run(List<Integer> machineCounts, int rounds, int idleConnections) throws IOException {
        out.printf(
                "%-8s %-6s %10s %12s %12s %10s %10s %10s %8s%n",
                "machines", "", "reqs/s", "CPU us/req", "bytes/req", "at rate", "p50 us", "p99 us", "failed");
        for (int n : machineCounts) {
            try (EchoServers echo = new EchoServers(n)) {
                // half of what the relay bears, for both
                double rate = measure("relay", echo, 0).full.perSecond() / 2;
                List<double[]> ratios = new ArrayList<>();
                for (int i = 0; i < rounds; i++) {
                    // in turn, so that what else the host does meets both
                    Row relay = measure("relay", echo, rate);
                    print(n, relay, rate);
                    Row front = measure("front", echo, rate);
                    print(n, front, rate);
                    ratios.add(new double[] {
                        front.full.perSecond() / relay.full.perSecond(),
                        front.cpuUs / relay.cpuUs,
                        front.bytes / relay.bytes,
                        added(front, relay, 50),
                        added(front, relay, 99)
                    });
                }
                out.printf(
                        Locale.ROOT,
                        "%-8d median of %d, front to relay: throughput %.2f, CPU %.2f, bytes %.2f; added"
                                + " at half load: p50 %.0f us, p99 %.0f us%n",
                        n,
                        rounds,
                        median(ratios, 0),
                        median(ratios, 1),
                        median(ratios, 2),
                        median(ratios, 3),
                        median(ratios, 4));
            }
        }
        idle(idleConnections);
    }

    private static double median(List<double[]> rows, int column) {
        double[] sorted = rows.stream().mapToDouble(r -> r[column]).sorted().toArray();
        return sorted[sorted.length / 2];
    }

    private static double added(Row a, Row b, double at) {
        return (a.half.times().getValueAtPercentile(at) - b.half.times().getValueAtPercentile(at)) / 1000.0;
    }

    private Row measure(String name, EchoServers echo, double rate) throws IOException {
        try (Subject s = new Subject(name, echo.ports);
                LoadClient load = new LoadClient(s.at, 128)) {
            LoadClient.Result full = load.full(seconds, seconds, s::mark);
            double cpu = s.cpu * 1e6 / full.completed();
            double bytes = s.bytes / full.completed();
            LoadClient.Result half = rate == 0 ? null : load.atRate(rate, seconds / 4, seconds, () -> {});
            return new Row(name, full, cpu, bytes, half);
        }
    }

    private void print(int machines, Row r, double rate) {
        out.printf(
                Locale.ROOT,
                "%-8d %-6s %10.0f %12.1f %12.0f %10.0f %10.0f %10.0f %8d%n",
                machines,
                r.name,
                r.full.perSecond(),
                r.cpuUs,
                r.bytes,
                rate,
                r.half.times().getValueAtPercentile(50) / 1000.0,
                r.half.times().getValueAtPercentile(99) / 1000.0,
                r.full.other() + r.half.other());
    }

    private void idle(int connections) throws IOException {
        try (EchoServers echo = new EchoServers(10)) {
            for (String name : List.of("relay", "front")) {
                try (Subject s = new Subject(name, echo.ports)) {
                    double before = s.resident();
                    try (LoadClient load = new LoadClient(s.at, connections)) {
                        out.printf(
                                Locale.ROOT,
                                "%d idle client connections, %s: %.1f MiB more, %.1f KiB each%n",
                                connections,
                                name,
                                s.resident() - before,
                                (s.resident() - before) * 1024 / connections);
                    }
                }
            }
        }
    }
}

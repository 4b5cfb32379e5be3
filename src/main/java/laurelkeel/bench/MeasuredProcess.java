package laurelkeel.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
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
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import laurelkeel.testbed.PortAllocator;

/** A front node or a bare relay in a separate process, whose resource usage is measured under load. Not thread-safe. */
final class MeasuredProcess implements AutoCloseable {
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

    private static final int MAX_START_POLLS = 500;
    private static final long START_POLL_NANOS = 20_000_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 200;
    private static final double KIBIBYTES_PER_MEBIBYTE = 1024;

    private final HttpClient http = HttpClient.newHttpClient();
    private final Process process;
    private final InetSocketAddress address;
    private final int adminPort;

    /** The program that the process runs. */
    enum Program {
        FRONT("front"),
        RELAY("relay");

        private final String label;

        Program(String label) {
            this.label = label;
        }

        /** Returns the name in tables, folder names and Java options. */
        String label() {
            return label;
        }
    }

    /**
     * The resources that a process has used since its start.
     *
     * @param cpuSeconds processor time
     * @param allocatedBytes total size of the objects allocated on the heap
     */
    record Usage(double cpuSeconds, double allocatedBytes) {
        Usage since(Usage earlier) {
            return new Usage(cpuSeconds - earlier.cpuSeconds, allocatedBytes - earlier.allocatedBytes);
        }
    }

    private MeasuredProcess(Process process, InetSocketAddress address, int adminPort) {
        this.process = process;
        this.address = address;
        this.adminPort = adminPort;
    }

    /**
     * Starts a program that sends requests to the given endpoints, and waits until it accepts connections.
     *
     * @param folder parent of the folder for the program's settings, state and log
     * @param javaOptions further Java options for the process; @NAME@ in them is replaced by the program's name
     * @throws IOException if the program does not start
     */
    static MeasuredProcess start(Program program, Path folder, List<String> javaOptions, List<Integer> endpointPorts)
            throws IOException {
        int port = PortAllocator.allocate();
        int adminPort = PortAllocator.allocate();
        Path programFolder = folder.resolve(program.label);
        Files.createDirectories(programFolder.resolve("state"));
        List<String> command = new ArrayList<>(
                List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xms256m", "-Xmx1g"));
        javaOptions.forEach(option -> command.add(option.replace("@NAME@", program.label)));
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "laurelkeel.cli.Main"));
        command.addAll(
                switch (program) {
                    case FRONT -> frontArguments(programFolder, port, adminPort, endpointPorts);
                    case RELAY -> relayArguments(port, adminPort, endpointPorts);
                });
        Path log = programFolder.resolve("log.txt");
        Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
                .start();
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        MeasuredProcess started = new MeasuredProcess(process, address, adminPort);
        for (int polls = 0; !started.isReachable(); polls++) {
            if (!process.isAlive() || polls > MAX_START_POLLS) {
                throw new IOException("process " + program.label + " did not start; see " + log);
            }
            LockSupport.parkNanos(START_POLL_NANOS);
        }
        return started;
    }

    /** Writes the front node's settings and endpoint list, and returns its command-line arguments. */
    private static List<String> frontArguments(Path programFolder, int port, int adminPort, List<Integer> endpointPorts)
            throws IOException {
        Path settings = programFolder.resolve("front.ini");
        Files.writeString(settings, SETTINGS.formatted(port, adminPort));
        String endpointList = endpointPorts.stream()
                .map(endpointPort -> "{\"machine\":\"127.0.0.1:" + endpointPort
                        + "\",\"build\":1,\"zone\":\"here\",\"cell\":0,\"kind\":0,\"size\":1,"
                        + "\"state\":\"live\",\"run\":1,\"ageMs\":-1}")
                .collect(Collectors.joining(",", "[", "]"));
        Files.writeString(programFolder.resolve("state").resolve("list.json"), endpointList);
        return List.of("front", settings.toString());
    }

    private static List<String> relayArguments(int port, int adminPort, List<Integer> endpointPorts) {
        String ports = endpointPorts.stream().map(String::valueOf).collect(Collectors.joining(","));
        return List.of("bench", "relay", Integer.toString(port), Integer.toString(adminPort), ports);
    }

    private boolean isReachable() {
        try (Socket socket = new Socket()) {
            socket.connect(address, CONNECT_TIMEOUT_MILLIS);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    InetSocketAddress address() {
        return address;
    }

    /** Returns the resources that the process has used since its start. */
    Usage usage() {
        return new Usage(metric("laurelkeel_process_cpu_seconds"), metric("laurelkeel_allocated_bytes"));
    }

    private double metric(String name) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + adminPort + "/metrics"))
                .build();
        try {
            String metrics =
                    http.send(request, HttpResponse.BodyHandlers.ofString()).body();
            return metrics.lines()
                    .filter(line -> line.startsWith(name + " "))
                    .mapToDouble(line -> Double.parseDouble(line.substring(name.length() + 1)))
                    .findFirst()
                    .orElseThrow();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while reading the metrics", e);
        }
    }

    /** Returns the resident memory in MiB; 0 if the kernel does not report it. */
    double residentMebibytes() throws IOException {
        return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                        .filter(line -> line.startsWith("VmRSS"))
                        .mapToDouble(line -> Double.parseDouble(line.replaceAll("\\D", "")))
                        .findFirst()
                        .orElse(0)
                / KIBIBYTES_PER_MEBIBYTE;
    }

    @Override
    public void close() {
        process.destroy();
    }
}

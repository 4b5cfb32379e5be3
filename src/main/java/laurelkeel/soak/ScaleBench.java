package laurelkeel.soak;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Measures the resources that one real node needs as the endpoints behind it become more numerous and smaller, while its
 * traffic, its limits and the total capacity of the endpoints stay the same. During the run half of the endpoints are
 * replaced by endpoints with a newer build.
 */
public final class ScaleBench {
    /** The header of the table that {@link #run} prints. */
    public static final String HEADER =
            "| profile | scale | machines | CPU s | memory MB | descriptors | connections | lists KB "
                    + "| whole lists | requests | served |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

    private static final int MEMORY_MEGABYTES = 160;
    private static final int MAX_DESCRIPTORS = 1_024;
    private static final int CLIENTS = 24;
    /** The number of requests that one endpoint serves at a time at scale 1. */
    private static final int REFERENCE_CONCURRENCY = 16;

    private static final int POLL_MILLIS = 20;

    private final ScaleProfile profile;
    private final int scale;
    private final int seconds;
    private final long seed;
    private final Path folder;

    private ScaleBench(ScaleProfile profile, int scale, int seconds, long seed, Path folder) {
        this.profile = profile;
        this.scale = scale;
        this.seconds = seconds;
        this.seed = seed;
        this.folder = folder;
    }

    /**
     * Measures a profile at several scales, and prints a table row for each, followed by the limits that it exceeds.
     *
     * @param scales multiples of the profile's reference number of endpoints; the others are compared with the first one
     * @param seconds duration of each run
     * @param folder for configurations and logs
     * @throws IOException if a node cannot be started
     */
    public static List<ScaleFigures> run(
            ScaleProfile profile,
            List<Integer> scales,
            int seconds,
            long seed,
            NodeImage image,
            Path folder,
            PrintStream out)
            throws IOException, InterruptedException {
        List<ScaleFigures> all = new ArrayList<>();
        for (int scale : scales) {
            Path ownFolder = folder.resolve(profile.label() + "-" + scale);
            Files.createDirectories(ownFolder);
            ScaleFigures figures = new ScaleBench(profile, scale, seconds, seed, ownFolder).measure(image);
            all.add(figures);
            out.println(figures.row());
            figures.exceededLimits(all.get(0)).forEach(over -> out.println("  over its limit: " + over));
        }
        return all;
    }

    private ScaleFigures measure(NodeImage image) throws IOException, InterruptedException {
        int endpoints = profile.endpoints(scale);
        int concurrency = Math.max(1, REFERENCE_CONCURRENCY / scale);
        try (HealthyEndpointServer endpointServer = new HealthyEndpointServer(2 * endpoints, concurrency, seed)) {
            endpointServer.start();
            EndpointReplacement replacement = new EndpointReplacement(endpointServer, endpoints);
            try (IncrementalDiscoveryServer discovery = new IncrementalDiscoveryServer(replacement.firstEntries());
                    ControlServer control = new ControlServer(new ViolationLog(new RunClock()), seed, 0)) {
                discovery.start();
                control.start();
                return measure(image, endpointServer, replacement, discovery, control);
            }
        }
    }

    private ScaleFigures measure(
            NodeImage image,
            HealthyEndpointServer endpointServer,
            EndpointReplacement replacement,
            IncrementalDiscoveryServer discovery,
            ControlServer control)
            throws IOException, InterruptedException {
        int port = NodeProbe.freePort();
        NodeProcess node = startNode(image, port, discovery, control);
        try {
            node.awaitReady(() -> NodeProbe.isReady(port));
            AtomicInteger peakDescriptors = new AtomicInteger();
            Thread sampler = DaemonThreads.start("descriptors", () -> sampleDescriptors(node, peakDescriptors));
            SteadyLoad load = SteadyLoad.start(port, CLIENTS, profile.requestsPerSecond(), seconds, seed);
            replacement.run(discovery, seconds);
            load.join();
            sampler.interrupt();
            return new ScaleFigures(
                    profile,
                    scale,
                    profile.endpoints(scale),
                    node.cpuSeconds(),
                    node.peakMemoryMegabytes(),
                    peakDescriptors.get(),
                    endpointServer.connections(),
                    discovery.bytesSent(),
                    discovery.fullListsSent(),
                    load.sent(),
                    (double) load.served() / load.sent());
        } finally {
            node.kill();
        }
    }

    private NodeProcess startNode(
            NodeImage image, int port, IncrementalDiscoveryServer discovery, ControlServer control) throws IOException {
        SoakNodeConfiguration configuration = new SoakNodeConfiguration(
                0,
                port,
                discovery.address(),
                control.address(),
                Long.toHexString(seed),
                MEMORY_MEGABYTES,
                MAX_DESCRIPTORS,
                discovery.fullList());
        Path file = folder.resolve("node.json");
        Files.writeString(file, configuration.json());
        return NodeProcess.start(image, file, folder.resolve("node.log"), Map.of(), MAX_DESCRIPTORS);
    }

    private static void sampleDescriptors(NodeProcess node, AtomicInteger peak) throws InterruptedException {
        while (node.isAlive()) {
            peak.accumulateAndGet(node.openDescriptors(), Math::max);
            Thread.sleep(POLL_MILLIS);
        }
    }
}

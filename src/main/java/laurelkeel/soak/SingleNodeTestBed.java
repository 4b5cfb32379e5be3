package laurelkeel.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A real node in a process of its own, with scripted endpoints and the services that the node needs. */
final class SingleNodeTestBed implements AutoCloseable {
    private static final int MEMORY_MEGABYTES = NodeController.MEMORY_MEGABYTES;
    private static final int MAX_DESCRIPTORS = 1_024;
    private static final long SEED = 1;

    /** The settings of a standalone node; the argument is the port. */
    private static final String STANDALONE_SETTINGS =
            """
            [front]
            number = 0
            fronts = 1
            listen = 127.0.0.1:%d
            [route look]
            path = /look
            effect = retriable
            objective = 300 ms
            timeout = 2 s
            [route pay]
            path = /pay
            method = POST
            effect = deduped
            repeat-window = 3 s
            objective = 300 ms
            timeout = 2 s
            [rollout]
            stage-caps = 0.2, 1
            """;

    private final RunClock clock = new RunClock();
    private final AttemptRecorder recorder = new AttemptRecorder(clock);
    private final List<TcpServer> servers = new ArrayList<>();
    private final List<ScriptedEndpoint> endpoints = new ArrayList<>();
    private final Path folder;
    private final int port = NodeProbe.freePort();
    private final NodeProcess node;

    /**
     * Starts endpoints, services and a node, and waits until the node is ready.
     *
     * @param image runs {@code serve}
     * @param folder for configuration and log of the node
     */
    SingleNodeTestBed(NodeKind kind, NodeImage image, EndpointScript script, int endpointCount, Path folder)
            throws IOException, InterruptedException {
        this.folder = Files.createDirectories(folder);
        for (int i = 0; i < endpointCount; i++) {
            ScriptedEndpoint endpoint = new ScriptedEndpoint("s-" + i, recorder, script);
            endpoints.add(endpoint);
            start(endpoint);
        }
        node = kind == NodeKind.SERVE ? startServe(image) : startStandalone();
        // a standalone node has no health check at the address of its clients
        node.awaitReady(() -> kind == NodeKind.SERVE ? NodeProbe.isReady(port) : NodeProbe.responds(port));
    }

    private <T extends TcpServer> T start(T server) {
        server.start();
        servers.add(server);
        return server;
    }

    private NodeProcess startServe(NodeImage image) throws IOException {
        SharedEndpointList list = new SharedEndpointList();
        list.publish(endpoints.stream()
                .map(endpoint -> new DiscoveryEntry(
                        endpoint.id(),
                        endpoint.address(),
                        DiscoveryEntry.State.ACTIVE,
                        0,
                        ControlServer.BASELINE_BUILD))
                .toList());
        SoakNodeConfiguration configuration = new SoakNodeConfiguration(
                0,
                port,
                start(new DiscoveryServer(list)).address(),
                start(new ControlServer(new ViolationLog(clock), SEED, 0)).address(),
                Long.toHexString(SEED),
                MEMORY_MEGABYTES,
                MAX_DESCRIPTORS,
                list.json());
        Path file = folder.resolve("node.json");
        Files.writeString(file, configuration.json());
        return NodeProcess.start(image, file, folder.resolve("node.log"), Map.of(), MAX_DESCRIPTORS);
    }

    private NodeProcess startStandalone() throws IOException {
        List<String> entries = endpoints.stream()
                .map(endpoint -> "{\"machine\":\"" + endpoint.address()
                        + "\",\"build\":1,\"zone\":\"here\",\"cell\":0,\"kind\":0,\"size\":1,\"state\":\"live\","
                        + "\"run\":1,\"ageMs\":-1}")
                .toList();
        Files.createDirectories(folder.resolve("state"));
        Files.writeString(folder.resolve("state/list.json"), "[" + String.join(",", entries) + "]");
        Path file = folder.resolve("node.ini");
        Files.writeString(file, STANDALONE_SETTINGS.formatted(port));
        return NodeProcess.start(
                NodeImage.standalone(file), file, folder.resolve("node.log"), Map.of(), MAX_DESCRIPTORS);
    }

    RunClock clock() {
        return clock;
    }

    AttemptRecorder recorder() {
        return recorder;
    }

    int port() {
        return port;
    }

    NodeProcess node() {
        return node;
    }

    @Override
    public void close() throws IOException, InterruptedException {
        node.kill();
        for (TcpServer server : servers) {
            server.close();
        }
    }
}

package laurelkeel.scenario;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import laurelkeel.testbed.PortAllocator;

/** Writes the settings files of a scenario's nodes and prepares their processes. */
final class NodeProcessFactory {
    /** Distance between the node seeds of consecutive scenario seeds, so that they do not overlap. */
    private static final long SEED_STRIDE = 1000;

    private final Scenario scenario;
    private final ScenarioEnvironment environment;
    private final Path folder;
    private final long seed;

    NodeProcessFactory(Scenario scenario, ScenarioEnvironment environment, Path folder, long seed) {
        this.scenario = scenario;
        this.environment = environment;
        this.folder = folder;
        this.seed = seed;
    }

    /** Writes the settings files and returns the nodes, none of which is started. */
    List<ScenarioNodeProcess> prepareAll() throws IOException {
        int nodeCount = scenario.nodeCount();
        int[] requestPorts = new int[nodeCount];
        int[] gossipPorts = new int[nodeCount];
        for (int i = 0; i < nodeCount; i++) {
            requestPorts[i] = PortAllocator.allocate();
            gossipPorts[i] = PortAllocator.allocate();
        }
        String peers = peersSection(gossipPorts);
        List<ScenarioNodeProcess> nodes = new ArrayList<>();
        for (int i = 0; i < nodeCount; i++) {
            Path settingsFile = folder.resolve("front-" + i + ".ini");
            Files.writeString(settingsFile, settings(i, requestPorts[i], gossipPorts[i]) + peers);
            nodes.add(new ScenarioNodeProcess(
                    i,
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), requestPorts[i]),
                    settingsFile,
                    folder.resolve("front-" + i + ".log")));
        }
        return nodes;
    }

    private static String peersSection(int[] gossipPorts) {
        StringBuilder peers = new StringBuilder("[peers]\n");
        for (int i = 0; i < gossipPorts.length; i++) {
            peers.append(i).append(" = 127.0.0.1:").append(gossipPorts[i]).append('\n');
        }
        return peers.toString();
    }

    private String settings(int nodeIndex, int requestPort, int gossipPort) throws IOException {
        List<String> zones = scenario.zones();
        return "; made for a day; see docs/front.md\n[front]\nnumber = " + nodeIndex
                + "\nfronts = " + scenario.nodeCount()
                + "\nzones = " + String.join(", ", zones)
                + "\nzone = " + zones.get(nodeIndex % zones.size())
                + "\nseed = " + (seed * SEED_STRIDE + nodeIndex)
                + "\nlisten = 127.0.0.1:" + requestPort
                + "\nadmin = 127.0.0.1:" + PortAllocator.allocate()
                + "\nnotes = 127.0.0.1:" + gossipPort
                + "\nstate = front-" + nodeIndex + "-state"
                + "\nrecords = front-" + nodeIndex + ".jsonl\n"
                + scenario.nodeSections()
                + "[list]\nmode = " + (scenario.endpointListPolled() ? "ask" : "push")
                + "\naddress = 127.0.0.1:" + environment.endpointListAddress().getPort()
                + "\n[release]\naddress = 127.0.0.1:"
                + environment.rolloutServiceAddress().getPort() + "\n";
    }
}

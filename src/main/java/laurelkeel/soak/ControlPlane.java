package laurelkeel.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * The discovery and control services of a run. Each node has servers at addresses of its own, which can move to other
 * addresses, stop responding and go down. Thread-safe.
 */
final class ControlPlane implements AutoCloseable {
    /** The time within which a node is expected to know the endpoint list again after any fault of its watch. */
    static final double RECOVERY_SECONDS = 6;

    private static final double MALFORMED_SHARE = 0.05;
    private static final long HEARTBEAT_MILLIS = 2_000;
    /** How long the replaced servers keep their open connections after a move. */
    private static final long OLD_CONNECTION_GRACE_MILLIS = 1_500;

    private final RunMonitor monitor;
    private final RunState state;
    private final AttemptAuditor auditor;
    private final SharedEndpointList endpointList = new SharedEndpointList();
    private final AtomicReferenceArray<DiscoveryServer> discovery = new AtomicReferenceArray<>(SoakPlan.NODES);
    private final AtomicReferenceArray<ControlServer> control = new AtomicReferenceArray<>(SoakPlan.NODES);
    private final List<TcpServer> started = new CopyOnWriteArrayList<>();
    private volatile boolean mayHaveDelayedUpdates;

    ControlPlane(RunMonitor monitor, RunState state, AttemptAuditor auditor) {
        this.monitor = monitor;
        this.state = state;
        this.auditor = auditor;
    }

    /** Starts the servers of one node. */
    void start(int node, long controlSeed) throws IOException {
        discovery.set(node, start(new DiscoveryServer(endpointList)));
        control.set(node, start(new ControlServer(monitor.violations(), controlSeed, MALFORMED_SHARE)));
    }

    private <T extends TcpServer> T start(T server) {
        server.start();
        started.add(server);
        return server;
    }

    /** Sends heartbeats on all watches until the run ends. */
    void sendHeartbeats() throws InterruptedException {
        while (!state.isEnding()) {
            Thread.sleep(HEARTBEAT_MILLIS);
            endpointList.sendHeartbeat();
        }
    }

    SharedEndpointList endpointList() {
        return endpointList;
    }

    String discoveryAddress(int node) {
        return discovery.get(node).address();
    }

    String controlAddress(int node) {
        return control.get(node).address();
    }

    /** Whether a fault may have delayed updates of the endpoint list to a node. */
    boolean mayHaveDelayedUpdates() {
        return mayHaveDelayedUpdates;
    }

    /** The former servers of one node, replaced by servers at new addresses. */
    record ReplacedServers(DiscoveryServer discovery, ControlServer control) {
        void stopListening() throws IOException {
            discovery.stopListening();
            control.stopListening();
        }

        /** Closes open connections once the node has had time to switch to the new servers. */
        void closeLater() {
            DaemonThreads.start("old address", () -> {
                Thread.sleep(OLD_CONNECTION_GRACE_MILLIS);
                discovery.close();
                control.close();
            });
        }
    }

    /** Starts new servers for one node at new addresses, and returns the former ones, which still listen. */
    ReplacedServers move(int node, long controlSeed) throws IOException {
        mayHaveDelayedUpdates = true;
        ReplacedServers replaced = new ReplacedServers(discovery.get(node), control.get(node));
        synchronized (this) {
            discovery.set(node, start(new DiscoveryServer(endpointList)));
        }
        control.set(node, start(new ControlServer(monitor.violations(), controlSeed, MALFORMED_SHARE)));
        return replaced;
    }

    /** Makes the discovery server of one node silent for a time: its open watches are closed, new ones get no response. */
    void silenceDiscovery(int node, int millis) throws IOException, InterruptedException {
        mayHaveDelayedUpdates = true;
        DiscoveryServer server = discovery.get(node);
        server.setSilent(true);
        Thread.sleep(millis);
        server.setSilent(false);
    }

    /** Takes the discovery server of one node down for a time; if the node is moved to a new server meanwhile, that one is up. */
    void takeDiscoveryDown(int node, int millis) throws IOException, InterruptedException {
        mayHaveDelayedUpdates = true;
        auditor.outageStarted();
        try {
            DiscoveryServer down = discovery.get(node);
            InetSocketAddress address = down.socketAddress();
            down.stopListening();
            down.closeConnections();
            Thread.sleep(millis);
            restartDiscovery(node, down, address);
        } finally {
            auditor.outageEnded(monitor.clock().seconds() + RECOVERY_SECONDS);
        }
    }

    private synchronized void restartDiscovery(int node, DiscoveryServer down, InetSocketAddress address)
            throws IOException {
        if (discovery.get(node) == down) {
            discovery.set(node, start(new DiscoveryServer(endpointList, address)));
        }
    }

    /** Sends all nodes an endpoint list that cannot be parsed. */
    void sendMalformedList() {
        mayHaveDelayedUpdates = true;
        endpointList.sendMalformed();
    }

    @Override
    public void close() throws IOException {
        for (TcpServer server : started) {
            server.close();
        }
    }
}

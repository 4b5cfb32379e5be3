package laurelkeel.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * Discovery and control service of a run, with addresses of their own for each node, that can move, fall silent and go
 * down. Thread-safe.
 */
final class ControlPlane implements AutoCloseable {
    /** After this, what discovery has to say counts as known, whatever happened to its watches. */
    static final double RECOVERY_SECONDS = 6;

    private static final double MALFORMED_SHARE = 0.05;
    private static final long HEARTBEAT_MILLIS = 2_000;
    /** Servers that were moved close their open connections so long after the move. */
    private static final long OLD_ADDRESS_MILLIS = 1_500;

    private final RunMonitor monitor;
    private final RunState state;
    private final AttemptAuditor auditor;
    private final SharedEndpointList endpointList = new SharedEndpointList();
    private final AtomicReferenceArray<DiscoveryServer> discovery = new AtomicReferenceArray<>(SoakPlan.NODES);
    private final AtomicReferenceArray<ControlServer> control = new AtomicReferenceArray<>(SoakPlan.NODES);
    private final List<TcpServer> started = new CopyOnWriteArrayList<>();
    private volatile boolean disturbed;

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

    /** Whether discovery may have failed to tell some node of a change in time. */
    boolean wasDisturbed() {
        return disturbed;
    }

    /** The servers of one node that others have replaced. */
    record ReplacedServers(DiscoveryServer discovery, ControlServer control) {
        void stopListening() throws IOException {
            discovery.stopListening();
            control.stopListening();
        }

        /** Closes open connections once a node has had time to leave them. */
        void closeLater() {
            DaemonThreads.start("old address", () -> {
                Thread.sleep(OLD_ADDRESS_MILLIS);
                discovery.close();
                control.close();
            });
        }
    }

    /** Starts servers of one node at new addresses, and returns those before, which still listen. */
    ReplacedServers move(int node, long controlSeed) throws IOException {
        disturbed = true;
        ReplacedServers replaced = new ReplacedServers(discovery.get(node), control.get(node));
        synchronized (this) {
            discovery.set(node, start(new DiscoveryServer(endpointList)));
        }
        control.set(node, start(new ControlServer(monitor.violations(), controlSeed, MALFORMED_SHARE)));
        return replaced;
    }

    /** Lets the discovery of one node fall silent for a while. */
    void silenceDiscovery(int node, int millis) throws IOException, InterruptedException {
        disturbed = true;
        DiscoveryServer server = discovery.get(node);
        server.setSilent(true);
        Thread.sleep(millis);
        server.setSilent(false);
    }

    /** Takes the discovery of one node down for a while; where it is moved meanwhile, the new address is up. */
    void takeDiscoveryDown(int node, int millis) throws IOException, InterruptedException {
        disturbed = true;
        auditor.outageBegins();
        try {
            DiscoveryServer down = discovery.get(node);
            InetSocketAddress address = down.socketAddress();
            down.stopListening();
            down.closeConnections();
            Thread.sleep(millis);
            restartDiscovery(node, down, address);
        } finally {
            auditor.outageEnds(monitor.clock().seconds() + RECOVERY_SECONDS);
        }
    }

    private synchronized void restartDiscovery(int node, DiscoveryServer down, InetSocketAddress address)
            throws IOException {
        if (discovery.get(node) == down) {
            discovery.set(node, start(new DiscoveryServer(endpointList, address)));
        }
    }

    /** Sends nodes a list that they cannot parse. */
    void sendMalformedList() {
        disturbed = true;
        endpointList.sendMalformed();
    }

    @Override
    public void close() throws IOException {
        for (TcpServer server : started) {
            server.close();
        }
    }
}

package laurelkeel.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/** The endpoints behind the nodes of a run, half of them with the canary build; thread-safe once started. */
final class FaultyEndpoints implements AutoCloseable {
    private static final int ENDPOINTS = 6;
    private static final int MAX_DRAINING = 2;
    /** An endpoint fails none, one or two of twenty attempts. */
    private static final double FAULTY_SHARE_STEP = 0.05;

    private static final int FAULTY_SHARES = 3;
    /** Nodes may send new attempts so long after the news of a drain. */
    private static final double DRAIN_GRACE_SECONDS = 1;

    private final RunMonitor monitor;
    private final AttemptAuditor auditor;
    private final ControlPlane controlPlane;
    private final List<FaultyEndpoint> endpoints = new ArrayList<>();
    private final Set<String> draining = new HashSet<>();

    FaultyEndpoints(RunMonitor monitor, AttemptAuditor auditor, ControlPlane controlPlane) {
        this.monitor = monitor;
        this.auditor = auditor;
        this.controlPlane = controlPlane;
    }

    /** Starts all endpoints and publishes their list; called once, before all else. */
    synchronized void start(Random random) throws IOException {
        for (int i = 0; i < ENDPOINTS; i++) {
            FaultyEndpoint endpoint = new FaultyEndpoint(
                    "s-" + i, auditor, random.nextLong(), random.nextInt(FAULTY_SHARES) * FAULTY_SHARE_STEP);
            endpoint.start();
            endpoints.add(endpoint);
        }
        publish();
    }

    private void publish() {
        List<DiscoveryEntry> entries = new ArrayList<>();
        for (FaultyEndpoint endpoint : endpoints) {
            boolean isDraining = draining.contains(endpoint.id());
            entries.add(new DiscoveryEntry(
                    endpoint.id(),
                    endpoint.address(),
                    isDraining ? DiscoveryEntry.State.LEAVING : DiscoveryEntry.State.ACTIVE,
                    0,
                    entries.size() % 2 == 0 ? ControlServer.BASELINE_BUILD : ControlServer.CANARY_BUILD));
        }
        controlPlane.endpointList().publish(entries);
    }

    /** Lets one endpoint drain, unless enough of them do. */
    synchronized void drainOne(Random random) {
        FaultyEndpoint endpoint = draw(random);
        if (draining.size() < MAX_DRAINING && draining.add(endpoint.id())) {
            publish();
            double recoverySeconds = controlPlane.wasDisturbed() ? ControlPlane.RECOVERY_SECONDS : 0;
            auditor.endpointDrains(endpoint.id(), monitor.clock().seconds() + DRAIN_GRACE_SECONDS + recoverySeconds);
        }
    }

    /** Lets one endpoint hang for good. */
    synchronized void hangOne(Random random) {
        draw(random).hang();
    }

    private FaultyEndpoint draw(Random random) {
        return endpoints.get(random.nextInt(ENDPOINTS));
    }

    @Override
    public void close() throws IOException {
        for (FaultyEndpoint endpoint : endpoints) {
            endpoint.close();
        }
    }
}

package laurelkeel.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/** The endpoints of a run, half of them with the canary build; thread-safe once started. */
final class FaultyEndpoints implements AutoCloseable {
    private static final int ENDPOINTS = 6;
    private static final int MAX_DRAINING = 2;
    /** An endpoint's share of faulty responses is zero, one or two times this step. */
    private static final double FAULTY_SHARE_STEP = 0.05;

    private static final int FAULTY_SHARES = 3;
    /** How long after the update that announces a drain nodes may still send new attempts. */
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

    /** Starts all endpoints and publishes the endpoint list; called once, before any other method. */
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

    /** Makes a random endpoint drain, unless the maximum number of endpoints drains already. */
    synchronized void drainOne(Random random) {
        FaultyEndpoint endpoint = pick(random);
        if (draining.size() < MAX_DRAINING && draining.add(endpoint.id())) {
            publish();
            double recoverySeconds = controlPlane.mayHaveDelayedUpdates() ? ControlPlane.RECOVERY_SECONDS : 0;
            auditor.endpointDraining(endpoint.id(), monitor.clock().seconds() + DRAIN_GRACE_SECONDS + recoverySeconds);
        }
    }

    /** Makes a random endpoint hang for the rest of the run. */
    synchronized void hangOne(Random random) {
        pick(random).hang();
    }

    private FaultyEndpoint pick(Random random) {
        return endpoints.get(random.nextInt(ENDPOINTS));
    }

    @Override
    public void close() throws IOException {
        for (FaultyEndpoint endpoint : endpoints) {
            endpoint.close();
        }
    }
}

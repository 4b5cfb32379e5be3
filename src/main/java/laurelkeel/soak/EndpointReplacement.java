package laurelkeel.soak;

import java.util.ArrayList;
import java.util.List;

/** Replaces half of the endpoints, evenly spread over a run, by endpoints with a newer build; not thread-safe. */
final class EndpointReplacement {
    private static final int STEP_MILLIS = 500;
    private static final int MILLIS_PER_SECOND = 1_000;
    /** The number of steps between the states {@code LEAVING} and {@code LEFT} of a replaced endpoint. */
    private static final int LEAVING_STEPS = 2;
    /** The number of steps between heartbeats while no endpoint changes. */
    private static final int HEARTBEAT_STEPS = 4;

    private final HealthyEndpointServer endpointServer;
    private final int endpoints;
    private int nextEndpoint;

    EndpointReplacement(HealthyEndpointServer endpointServer, int endpoints) {
        this.endpointServer = endpointServer;
        this.endpoints = endpoints;
    }

    /** Returns the endpoints before any is replaced; called once. */
    List<DiscoveryEntry> firstEntries() {
        List<DiscoveryEntry> entries = new ArrayList<>();
        for (int i = 0; i < endpoints; i++) {
            entries.add(newEntry(ControlServer.BASELINE_BUILD, 0));
        }
        return entries;
    }

    private DiscoveryEntry newEntry(int build, long startedMillis) {
        int number = nextEndpoint++;
        return new DiscoveryEntry(
                "s-" + number, endpointServer.addressOf(number), DiscoveryEntry.State.ACTIVE, startedMillis, build);
    }

    /** Replaces the endpoints; blocks for the given number of seconds. */
    void run(IncrementalDiscoveryServer discovery, int seconds) throws InterruptedException {
        int steps = seconds * MILLIS_PER_SECOND / STEP_MILLIS;
        int replaced = 0;
        List<List<DiscoveryEntry>> leavingByStep = new ArrayList<>();
        for (int step = 1; step <= steps; step++) {
            Thread.sleep(STEP_MILLIS);
            int due = endpoints / 2 * step / steps;
            List<DiscoveryEntry> leaving = oldest(discovery, due - replaced);
            replaced = due;
            leavingByStep.add(leaving);
            List<DiscoveryEntry> changed = new ArrayList<>();
            for (DiscoveryEntry entry : leaving) {
                changed.add(entry.withState(DiscoveryEntry.State.LEAVING));
                changed.add(newEntry(ControlServer.CANARY_BUILD, System.currentTimeMillis()));
            }
            if (step > LEAVING_STEPS) {
                leavingByStep
                        .get(step - 1 - LEAVING_STEPS)
                        .forEach(entry -> changed.add(entry.withState(DiscoveryEntry.State.LEFT)));
            }
            publish(discovery, changed, step);
        }
    }

    /** Returns the endpoints to replace next. */
    private static List<DiscoveryEntry> oldest(IncrementalDiscoveryServer discovery, int count) {
        return discovery.entries().stream()
                .filter(entry -> entry.build() == ControlServer.BASELINE_BUILD)
                .filter(entry -> entry.state() == DiscoveryEntry.State.ACTIVE)
                .limit(count)
                .toList();
    }

    private static void publish(IncrementalDiscoveryServer discovery, List<DiscoveryEntry> changed, int step) {
        if (!changed.isEmpty()) {
            discovery.publish(changed);
        } else if (step % HEARTBEAT_STEPS == 0) {
            discovery.sendHeartbeat();
        }
    }
}

package laurelkeel.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Executes the events of a plan, each at its planned time and on a thread of its own. */
final class EventRunner {
    private static final int POLL_MILLIS = 5;
    private static final int MIN_SILENCE_MILLIS = 500;
    private static final int SILENCE_SPREAD_MILLIS = 2_500;
    private static final int MIN_OUTAGE_MILLIS = 2_500;
    private static final int OUTAGE_SPREAD_MILLIS = 5_000;

    private final RunMonitor monitor;
    private final RunState state;
    private final NodeController nodes;
    private final ControlPlane controlPlane;
    private final FaultyEndpoints endpoints;
    private final NodeEvents nodeEvents;

    EventRunner(
            RunMonitor monitor,
            RunState state,
            NodeController nodes,
            ControlPlane controlPlane,
            FaultyEndpoints endpoints) {
        this.monitor = monitor;
        this.state = state;
        this.nodes = nodes;
        this.controlPlane = controlPlane;
        this.endpoints = endpoints;
        this.nodeEvents = new NodeEvents(nodes, controlPlane);
    }

    /** Executes all events and waits until the last one has finished. */
    void run(List<PlannedEvent> events) throws InterruptedException {
        List<Thread> running = new ArrayList<>();
        double startedAt = monitor.clock().seconds();
        for (PlannedEvent event : events) {
            while (monitor.clock().seconds() < startedAt + event.atSeconds()) {
                Thread.sleep(POLL_MILLIS);
            }
            running.add(DaemonThreads.start("event", () -> run(event)));
        }
        for (Thread thread : running) {
            thread.join();
        }
    }

    private void run(PlannedEvent planned) throws IOException, InterruptedException {
        Random random = new Random(planned.seed());
        int node = planned.node();
        switch (planned.event()) {
            case DISCOVERY_SILENT ->
                controlPlane.silenceDiscovery(node, MIN_SILENCE_MILLIS + random.nextInt(SILENCE_SPREAD_MILLIS));
            case DISCOVERY_DOWN ->
                controlPlane.takeDiscoveryDown(node, MIN_OUTAGE_MILLIS + random.nextInt(OUTAGE_SPREAD_MILLIS));
            case DISCOVERY_SPOILT -> controlPlane.sendMalformedList();
            case SERVER_DRAINS -> endpoints.drainOne(random);
            case SERVER_HANGS -> endpoints.hangOne(random);
            case CROWD -> ConnectionFlood.run(nodes.port(node), state, monitor.violations());
            case HELD_UP -> nodeEvents.pause(node, random);
            case NEW_CONFIGURATIONS -> nodeEvents.reconfigure(node, random);
            case RESTART, KILL, TERM_AT_START, NEW_CONFIGURATION_AND_RESTART, NEW_CONFIGURATION_WHILE_DRAINING ->
                nodeEvents.restart(planned.event(), node, random);
        }
    }
}

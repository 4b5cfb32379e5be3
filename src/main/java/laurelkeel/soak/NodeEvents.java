package laurelkeel.soak;

import java.io.IOException;
import java.util.Random;

/** Executes events that signal or reconfigure nodes; thread-safe, with one restart or reconfiguration at a time. */
final class NodeEvents {
    private static final int MAX_TERM_SIGNALS = 3;
    private static final int MAX_TERM_INTERVAL_MILLIS = 50;
    private static final int MAX_AGE_AT_TERM_MILLIS = 700;
    private static final int MAX_TERM_SIGNALS_AT_START = 2;
    private static final int MAX_TERM_INTERVAL_AT_START_MILLIS = 30;
    private static final int MAX_CONFIGURATIONS = 4;
    private static final int MAX_CONFIGURATION_INTERVAL_MILLIS = 150;
    private static final int MAX_DRAIN_BEFORE_CONFIGURATION_MILLIS = 800;
    private static final int MAX_PAUSES = 5;
    /** How long a node's process is stopped at a time. */
    private static final int PAUSE_MILLIS = 150;

    private static final int MAX_PAUSE_INTERVAL_MILLIS = 500;

    private final NodeController nodes;
    private final ControlPlane controlPlane;

    NodeEvents(NodeController nodes, ControlPlane controlPlane) {
        this.nodes = nodes;
        this.controlPlane = controlPlane;
    }

    /** Stops a running node in the way that an event prescribes, and starts it again. */
    synchronized void restart(SoakEvent event, int node, Random random) throws IOException, InterruptedException {
        NodeInstance instance = nodes.instance(node);
        if (!instance.process().isAlive()) {
            return;
        }
        switch (event) {
            case RESTART ->
                nodes.terminate(
                        instance, 1 + random.nextInt(MAX_TERM_SIGNALS), random.nextInt(MAX_TERM_INTERVAL_MILLIS));
            case KILL -> nodes.kill(instance);
            case TERM_AT_START -> {
                nodes.kill(instance);
                terminateAtStart(node, random);
            }
            case NEW_CONFIGURATION_WHILE_DRAINING -> configureWhileDraining(node, instance, random);
            case NEW_CONFIGURATION_AND_RESTART -> {
                configure(node, instance, random);
                nodes.terminate(instance, 1, 0);
            }
            default -> throw new IllegalArgumentException(event + " does not restart a node");
        }
        nodes.start(node);
    }

    /** Gives a running node a series of new configurations. */
    synchronized void reconfigure(int node, Random random) throws IOException, InterruptedException {
        NodeInstance instance = nodes.instance(node);
        if (instance.process().isAlive()) {
            configure(node, instance, random);
        }
    }

    private void terminateAtStart(int node, Random random) throws IOException, InterruptedException {
        NodeInstance starting = nodes.launch(node);
        Thread.sleep(random.nextInt(MAX_AGE_AT_TERM_MILLIS));
        nodes.terminate(
                starting,
                1 + random.nextInt(MAX_TERM_SIGNALS_AT_START),
                random.nextInt(MAX_TERM_INTERVAL_AT_START_MILLIS));
    }

    private void configureWhileDraining(int node, NodeInstance instance, Random random)
            throws IOException, InterruptedException {
        Thread configuring = DaemonThreads.start("configuration", () -> {
            Thread.sleep(random.nextInt(MAX_DRAIN_BEFORE_CONFIGURATION_MILLIS));
            configure(node, instance, random);
        });
        nodes.terminate(instance, 1, 0);
        configuring.join();
    }

    /** Gives a node a series of configurations with new service addresses, and sends SIGHUP after each. */
    private void configure(int node, NodeInstance instance, Random random) throws IOException, InterruptedException {
        for (int remaining = 1 + random.nextInt(MAX_CONFIGURATIONS); remaining > 0; remaining--) {
            ControlPlane.ReplacedServers replaced = controlPlane.move(node, random.nextLong());
            nodes.writeConfiguration(node);
            replaced.stopListening();
            instance.process().signal("HUP");
            replaced.closeLater();
            Thread.sleep(random.nextInt(MAX_CONFIGURATION_INTERVAL_MILLIS));
        }
    }

    /**
     * Pauses a node's process a few times with SIGSTOP and SIGCONT: a process may lose the CPU at any instruction, for
     * example between reading its clock and writing.
     */
    void pause(int node, Random random) throws IOException, InterruptedException {
        NodeProcess process = nodes.instance(node).process();
        for (int remaining = 1 + random.nextInt(MAX_PAUSES); remaining > 0; remaining--) {
            process.signal("STOP");
            try {
                Thread.sleep(PAUSE_MILLIS);
            } finally {
                process.signal("CONT");
            }
            Thread.sleep(PAUSE_MILLIS + random.nextInt(MAX_PAUSE_INTERVAL_MILLIS));
        }
    }
}

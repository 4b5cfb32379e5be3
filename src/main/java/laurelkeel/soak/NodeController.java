package laurelkeel.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReferenceArray;
import org.jspecify.annotations.Nullable;

/**
 * Starts, configures and stops the nodes of a run as the platform does. Thread-safe, except that the same node must not be
 * started or stopped by two threads at a time.
 */
final class NodeController {
    /** The memory limit of a node, in megabytes. */
    static final int MEMORY_MEGABYTES = 192;
    /** The limit of a node's open file descriptors. */
    static final int MAX_DESCRIPTORS = 256;

    /** The shortest time from SIGTERM to SIGKILL: the longest deadline, which counts as 3 s, plus 0.7 s. */
    private static final long KILL_AFTER_MILLIS = 3_700;
    /** How long after SIGTERM clients still open new connections. */
    private static final double ADMITTING_AFTER_TERM_SECONDS = 0.3;

    private static final double READY_SECONDS = 10;
    private static final int READY_POLL_MILLIS = 20;
    private static final int SEED_COUNTER_BITS = 16;

    private final SoakPlan plan;
    private final NodeImage image;
    private final Path folder;
    private final Map<String, String> environment;
    private final RunMonitor monitor;
    private final ControlPlane controlPlane;
    private final AtomicReferenceArray<@Nullable NodeInstance> instances = new AtomicReferenceArray<>(SoakPlan.NODES);
    private final int[] ports = new int[SoakPlan.NODES];
    private final AtomicInteger configurations = new AtomicInteger();

    /**
     * Creates the controller.
     *
     * @param folder for configurations and logs
     * @param environment variables of all nodes, in addition to those of this process
     */
    NodeController(
            SoakPlan plan,
            NodeImage image,
            Path folder,
            Map<String, String> environment,
            RunMonitor monitor,
            ControlPlane controlPlane) {
        this.plan = plan;
        this.image = image;
        this.folder = folder;
        this.environment = environment;
        this.monitor = monitor;
        this.controlPlane = controlPlane;
    }

    /** Chooses the port of a node; called once per node, before its first start. */
    void choosePort(int index) throws IOException {
        ports[index] = NodeProbe.freePort();
    }

    int port(int index) {
        return ports[index];
    }

    /** Returns the latest process of a node that has been started. */
    NodeInstance instance(int index) {
        NodeInstance instance = instances.get(index);
        if (instance == null) {
            throw new IllegalStateException("node " + index + " has not been started");
        }
        return instance;
    }

    /** Returns the latest process of each node that has been started so far. */
    List<NodeInstance> instances() {
        List<NodeInstance> started = new ArrayList<>();
        for (int i = 0; i < instances.length(); i++) {
            NodeInstance instance = instances.get(i);
            if (instance != null) {
                started.add(instance);
            }
        }
        return started;
    }

    /** Picks a random node and returns its process; null if clients may not connect to it. */
    @Nullable
    NodeInstance pickAdmitting(Random random) {
        NodeInstance instance = instances.get(random.nextInt(SoakPlan.NODES));
        boolean admitting = instance != null
                && instance.wasAdmitting()
                && monitor.clock().seconds() < instance.terminatedAt() + ADMITTING_AFTER_TERM_SECONDS
                && !instance.wasKilled();
        return admitting ? instance : null;
    }

    /** Replaces the configuration file of a node. */
    void writeConfiguration(int index) throws IOException {
        SoakNodeConfiguration configuration = new SoakNodeConfiguration(
                index,
                ports[index],
                controlPlane.discoveryAddress(index),
                controlPlane.controlAddress(index),
                Long.toHexString(plan.seed() << SEED_COUNTER_BITS | configurations.incrementAndGet()),
                MEMORY_MEGABYTES,
                MAX_DESCRIPTORS,
                controlPlane.endpointList().json());
        Path replacement = folder.resolve(SoakNodeConfiguration.nameOf(index) + ".json.new");
        Files.writeString(replacement, configuration.json());
        Files.move(
                replacement,
                configurationFile(index),
                StandardCopyOption.REPLACE_EXISTING,
                StandardCopyOption.ATOMIC_MOVE);
    }

    private Path configurationFile(int index) {
        return folder.resolve(SoakNodeConfiguration.nameOf(index) + ".json");
    }

    /** Starts a process of a node without waiting until it is ready. */
    NodeInstance launch(int index) throws IOException {
        writeConfiguration(index);
        String name = SoakNodeConfiguration.nameOf(index);
        NodeProcess process = NodeProcess.start(
                image, configurationFile(index), folder.resolve(name + ".log"), environment, MAX_DESCRIPTORS);
        NodeInstance instance = new NodeInstance(name, ports[index], process);
        instances.set(index, instance);
        return instance;
    }

    /** Starts a process of a node and waits until it is ready. */
    void start(int index) throws IOException, InterruptedException {
        NodeInstance instance = launch(index);
        double limit = monitor.clock().seconds() + READY_SECONDS;
        while (!instance.isEndRequested() && instance.process().isAlive() && !NodeProbe.isReady(instance.port())) {
            if (monitor.clock().seconds() > limit) {
                monitor.violations()
                        .add(SoakRule.START, instance.name() + " is not ready after " + READY_SECONDS + " s");
                return;
            }
            Thread.sleep(READY_POLL_MILLIS);
        }
        instance.admit();
    }

    /** Sends SIGKILL and waits for the process to exit. */
    void kill(NodeInstance instance) throws InterruptedException {
        instance.killRequested(monitor.clock().seconds());
        instance.process().kill();
    }

    /** Sends a series of SIGTERMs, then SIGKILL at the earliest permitted time if the process has not exited by then. */
    void terminate(NodeInstance instance, int signals, int intervalMillis) throws IOException, InterruptedException {
        instance.terminationRequested(monitor.clock().seconds());
        for (int i = 0; i < signals; i++) {
            instance.process().signal("TERM");
            Thread.sleep(intervalMillis);
        }
        long remainingMillis = KILL_AFTER_MILLIS - (long) signals * intervalMillis;
        OptionalInt status = instance.process().awaitExit(Math.max(1, remainingMillis));
        if (status.isEmpty()) {
            monitor.violations().count("killed after SIGTERM");
            kill(instance);
        } else if (status.getAsInt() != 0 && instance.wasAdmitting()) {
            monitor.violations()
                    .add(
                            SoakRule.EXIT,
                            instance.name() + " exited with status " + status.getAsInt() + " after SIGTERM");
        }
    }

    /** Terminates all nodes simultaneously and waits for them to exit. */
    void terminateAll() throws InterruptedException {
        List<Thread> ending = new ArrayList<>();
        for (NodeInstance instance : instances()) {
            if (instance.process().isAlive()) {
                ending.add(DaemonThreads.start("end", () -> terminate(instance, 1, 0)));
            }
        }
        for (Thread thread : ending) {
            thread.join();
        }
    }

    /** Kills all nodes regardless of their state. */
    void killAll() throws InterruptedException {
        for (NodeInstance instance : instances()) {
            instance.process().kill();
        }
    }
}

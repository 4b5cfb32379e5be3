package laurelkeel.soak;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * What one real node needs as the machines behind it become more and smaller, while its traffic, its limits and the
 * capacity of all machines together stay the same. Meanwhile half of the machines are replaced by those of a later build.
 */
public final class ScaleBench {
    /** What the acceptance allows at more machines, from what the usual size takes. */
    private static final double CPU_TIMES = 1.4, CPU_PLUS = 0.02, CPU_A_THOUSAND = 0.12;

    private static final double MEMORY_TIMES = 1.5, MEMORY_PLUS = 8, MEMORY_A_THOUSAND = 4;
    private static final double DESCRIPTORS_TIMES = 2, DESCRIPTORS_PLUS = 40;
    private static final double CONNECTIONS_TIMES = 2.5, CONNECTIONS_PLUS = 40;
    private static final double LIST_TIMES = 2, LIST_PLUS = 64 << 10, LIST_A_THOUSAND = 500 << 10;
    private static final double SERVED_TIMES = 0.85;

    /** Of the table that run prints. */
    public static final String HEADER =
            "| profile | scale | machines | CPU s | memory MB | descriptors | connections | lists KB "
                    + "| whole lists | requests | served |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

    private static final int BUILD = ControlServer.TRIAL_BUILD - 1;
    private static final int MEMORY_MB = 160;
    private static final int DESCRIPTORS = 1_024;
    private static final int CLIENTS = 24;
    /** Requests that a machine of the usual size serves at a time. */
    private static final int USUAL_PLACES = 16;

    private static final int READY_MS = 10_000;
    /** Machines are replaced in steps, and one that leaves is gone so many steps later. */
    private static final int STEP_MS = 500, STEPS_TO_GO = 2;

    private static final int BEAT_STEPS = 4;
    private static final int SAMPLE_MS = 20;

    /** The traffic of a node and the usual number of machines behind it. */
    public enum Profile {
        /** One of a hundred nodes in front of a large fleet. */
        THIN(20, 200),
        /** One of three nodes in front of a small one, as the bench's short days have it. */
        SMALL(90, 20),
        /** One with much traffic and few machines. */
        BUSY(240, 12);

        final int perSecond;
        final int machines;

        Profile(int perSecond, int machines) {
            this.perSecond = perSecond;
            this.machines = machines;
        }
    }

    /**
     * One run.
     *
     * @param scale times the usual number of machines
     * @param memoryMb at its peak
     * @param descriptors most at once
     * @param connections made to machines
     * @param listBytes told by discovery
     * @param served share of all requests
     */
    public record Figures(
            Profile profile,
            int scale,
            int machines,
            double cpuSeconds,
            int memoryMb,
            int descriptors,
            int connections,
            long listBytes,
            int wholeLists,
            int requests,
            double served) {
        /** What of this goes past what the acceptance allows, given the usual size's figures. */
        public List<String> overLimits(Figures usual) {
            double thousands = machines / 1e3;
            List<String> over = new ArrayList<>();
            most(over, "CPU seconds", cpuSeconds, CPU_TIMES * usual.cpuSeconds + CPU_PLUS + CPU_A_THOUSAND * thousands);
            most(
                    over,
                    "peak memory",
                    memoryMb,
                    MEMORY_TIMES * usual.memoryMb + MEMORY_PLUS + MEMORY_A_THOUSAND * thousands);
            most(over, "descriptors", descriptors, DESCRIPTORS_TIMES * usual.descriptors + DESCRIPTORS_PLUS);
            most(over, "connections", connections, CONNECTIONS_TIMES * usual.connections + CONNECTIONS_PLUS);
            most(
                    over,
                    "bytes of lists",
                    listBytes,
                    LIST_TIMES * usual.listBytes + LIST_PLUS + LIST_A_THOUSAND * thousands);
            if (served < SERVED_TIMES * usual.served) {
                over.add(String.format(Locale.ROOT, "share served %.3f of %.3f", served, SERVED_TIMES * usual.served));
            }
            return over;
        }

        private static void most(List<String> over, String what, double is, double most) {
            if (is > most) {
                over.add(String.format(Locale.ROOT, "%s %.2f of %.2f", what, is, most));
            }
        }

        String row() {
            return String.format(
                    Locale.ROOT,
                    "| %s | %d | %d | %.2f | %d | %d | %d | %.0f | %d | %d | %.4f |",
                    profile.name().toLowerCase(Locale.ROOT),
                    scale,
                    machines,
                    cpuSeconds,
                    memoryMb,
                    descriptors,
                    connections,
                    listBytes / 1024.0,
                    wholeLists,
                    requests,
                    served);
        }
    }

    private final Profile profile;
    private final int scale;
    private final int seconds;
    private final long seed;
    private final Path folder;
    private int nextMachine;

    private ScaleBench(Profile profile, int scale, int seconds, long seed, Path folder) {
        this.profile = profile;
        this.scale = scale;
        this.seconds = seconds;
        this.seed = seed;
        this.folder = folder;
    }

    /** Runs a profile at each scale, the first of which is the usual size, and prints a table with what is over its limits. */
    public static List<Figures> run(
            Profile profile,
            List<Integer> scales,
            int seconds,
            long seed,
            NodeImage image,
            Path folder,
            PrintStream out)
            throws IOException, InterruptedException {
        List<Figures> all = new ArrayList<>();
        for (int scale : scales) {
            Path own = folder.resolve(profile.name().toLowerCase(Locale.ROOT) + "-" + scale);
            Files.createDirectories(own);
            Figures figures = new ScaleBench(profile, scale, seconds, seed, own).play(image);
            all.add(figures);
            out.println(figures.row());
            figures.overLimits(all.get(0)).forEach(over -> out.println("  over its limit: " + over));
        }
        return all;
    }

    private Figures play(NodeImage image) throws IOException, InterruptedException {
        int machines = profile.machines * scale;
        int places = Math.max(1, USUAL_PLACES / scale);
        List<ChangeFeed.Entry> entries = new ArrayList<>();
        Violations violations = new Violations();
        try (MachineFleet fleet = new MachineFleet(2 * machines, places, seed)) {
            fleet.start();
            for (int i = 0; i < machines; i++) {
                entries.add(entry(fleet, BUILD, 0));
            }
            try (ChangeFeed discovery = new ChangeFeed(entries);
                    ControlServer control = new ControlServer(violations, seed, 0)) {
                discovery.start();
                control.start();
                return measure(image, fleet, discovery, control);
            }
        }
    }

    private ChangeFeed.Entry entry(MachineFleet fleet, int build, long startedMs) {
        int number = nextMachine++;
        return new ChangeFeed.Entry("s-" + number, fleet.addressOf(number), ChangeFeed.State.ACTIVE, startedMs, build);
    }

    private Figures measure(NodeImage image, MachineFleet fleet, ChangeFeed discovery, ControlServer control)
            throws IOException, InterruptedException {
        int port = Soak.freePort();
        Path config = folder.resolve("node.json");
        Files.writeString(
                config,
                Soak.configuration(
                        "n0",
                        0,
                        port,
                        discovery.address(),
                        Long.toHexString(seed),
                        MEMORY_MB,
                        DESCRIPTORS,
                        control.address(),
                        discovery.whole()));
        NodeProcess node = NodeProcess.start(image, config, folder.resolve("node.log"), Map.of(), DESCRIPTORS);
        try {
            awaitReady(node, port);
            AtomicInteger descriptors = new AtomicInteger();
            Thread sampler = TcpServer.daemon("descriptors", () -> {
                while (node.isAlive()) {
                    descriptors.accumulateAndGet(node.descriptors(), Math::max);
                    Thread.sleep(SAMPLE_MS);
                }
            });
            ScaleLoad load = ScaleLoad.start(port, CLIENTS, profile.perSecond, seconds, seed);
            replaceMachines(fleet, discovery);
            load.join();
            sampler.interrupt();
            return new Figures(
                    profile,
                    scale,
                    profile.machines * scale,
                    node.cpuSeconds(),
                    node.peakMemory(),
                    descriptors.get(),
                    fleet.connections(),
                    discovery.bytes(),
                    discovery.wholeLists(),
                    load.asked(),
                    (double) load.served() / load.asked());
        } finally {
            node.kill();
        }
    }

    /** Half of the machines over the run, evenly. */
    private void replaceMachines(MachineFleet fleet, ChangeFeed discovery) throws InterruptedException {
        int machines = profile.machines * scale;
        int steps = seconds * 1_000 / STEP_MS;
        int replaced = 0;
        List<List<ChangeFeed.Entry>> left = new ArrayList<>();
        for (int step = 1; step <= steps; step++) {
            Thread.sleep(STEP_MS);
            int due = machines / 2 * step / steps;
            List<ChangeFeed.Entry> changed = new ArrayList<>();
            List<ChangeFeed.Entry> goes = new ArrayList<>();
            List<ChangeFeed.Entry> old = discovery.entries().stream()
                    .filter(entry -> entry.build() == BUILD && entry.state() == ChangeFeed.State.ACTIVE)
                    .limit(due - replaced)
                    .toList();
            for (ChangeFeed.Entry each : old) {
                ChangeFeed.Entry leaves =
                        new ChangeFeed.Entry(each.id(), each.address(), ChangeFeed.State.LEAVING, 0, BUILD);
                changed.add(leaves);
                goes.add(new ChangeFeed.Entry(each.id(), each.address(), ChangeFeed.State.LEFT, 0, BUILD));
                changed.add(entry(fleet, ControlServer.TRIAL_BUILD, System.currentTimeMillis()));
            }
            replaced = due;
            left.add(goes);
            if (step > STEPS_TO_GO) {
                changed.addAll(left.get(step - 1 - STEPS_TO_GO));
            }
            if (!changed.isEmpty()) {
                discovery.publish(changed);
            } else if (step % BEAT_STEPS == 0) {
                discovery.beat();
            }
        }
    }

    private static void awaitReady(NodeProcess node, int port) throws IOException, InterruptedException {
        while (!Soak.ready(port)) {
            if (!node.isAlive() || node.age() > READY_MS) {
                throw new IOException("the node is not ready: " + node.log());
            }
            Thread.sleep(SAMPLE_MS);
        }
    }
}

package laurelkeel.front;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import laurelkeel.api.Decider;
import laurelkeel.audit.AuditReport;
import laurelkeel.audit.Auditor;
import laurelkeel.config.IniFile;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.records.RecordReader;
import laurelkeel.records.TrafficRecord;
import laurelkeel.scenario.Scenario;
import laurelkeel.scenario.ScenarioEnvironment;
import laurelkeel.scenario.ScenarioFault;

/** Front nodes in this process with simulated clients, endpoints and control plane, for end-to-end tests. */
public final class FrontTestRig implements AutoCloseable {
    static final String COMMON =
            """
            [day]
            fronts = %d
            machines = %d
            [route look]
            path = /look
            effect = retriable
            objective = 300 ms
            timeout = 1500 ms
            [route pay]
            path = /pay
            method = POST
            effect = non-retriable
            objective = 300 ms
            timeout = 1500 ms
            [route note]
            path = /note
            method = POST
            effect = deduped
            group = all
            repeat-window = 2 s
            objective = 300 ms
            timeout = 1500 ms
            [work]
            look = 5 ms
            pay = 5 ms
            note = 5 ms
            [rollout]
            stage-caps = 0.2, 1
            back-votes = 1
            window = 1 s
            guarded-stages = 1
            [line]
            shares = 0.3, 1
            start-time = 200 ms
            news-lag = 50 ms
            style = beside
            together = 2
            [limits]
            drain-grace = 200 ms
            cold-for = 3 s
            tip-after = 1 s
            tip-multiple = 2
            [list]
            lag = 50 ms
            [load]
            rate = 300
            keys = 40
            retries = 0
            [build 2]
            work = 1
            [build 3]
            work = 1
            """;

    final ConcurrentLinkedQueue<TrafficRecord> records = new ConcurrentLinkedQueue<>();
    final ScenarioEnvironment environment;
    final List<FrontNode> fronts = new ArrayList<>();
    final List<InetSocketAddress> addresses = new ArrayList<>();
    private final Path folder;

    FrontTestRig(
            Path folder,
            String extra,
            int nodeCount,
            int endpointCount,
            Decider.Factory deciders,
            boolean guarded,
            LongSupplier... clocks)
            throws Exception {
        this.folder = folder;
        Scenario scenario =
                Scenario.read(IniFile.parse("rig.ini", COMMON.formatted(nodeCount, endpointCount) + extra), "rig");
        environment = new ScenarioEnvironment(scenario, 7, records::add);
        environment.start();
        for (int i = 0; i < nodeCount; i++) {
            Path file = folder.resolve("front-" + i + ".ini");
            Files.writeString(
                    file,
                    "[front]\nnumber = " + i + "\nfronts = " + nodeCount + "\nlisten = 127.0.0.1:0\n"
                            + "state = state-" + i + "\nrecords = front-" + i + ".jsonl\n" + scenario.nodeSections()
                            + "[list]\naddress = 127.0.0.1:"
                            + environment.endpointListAddress().getPort()
                            + "\n[release]\naddress = 127.0.0.1:"
                            + environment.rolloutServiceAddress().getPort() + "\n");
            FrontNode front = new FrontNode(
                    FrontSettings.read(file),
                    deciders,
                    i < clocks.length ? clocks[i] : NodeRuntime.monotonicClock(),
                    guarded);
            fronts.add(front);
            addresses.add(front.start());
        }
    }

    void startLoad() {
        environment.startLoad(addresses, 7);
    }

    void applyFault(String event) throws Exception {
        Scenario scenario = Scenario.read(
                IniFile.parse("event.ini", COMMON.formatted(fronts.size(), 1) + "[event e]\nat = 0 ms\n" + event),
                "event");
        ScenarioFault fault = scenario.faults().get(0);
        environment.apply(fault);
    }

    <T extends TrafficRecord> long count(Class<T> kind, Predicate<T> matches) {
        return records.stream()
                .filter(kind::isInstance)
                .map(kind::cast)
                .filter(matches)
                .count();
    }

    /** Runs an event loop on a new thread until the loop is stopped. */
    public static void run(EventLoop loop) {
        Thread thread = new Thread(() -> loop.run(() -> false));
        thread.setDaemon(true);
        thread.start();
    }

    /** Waits at most 30 s for a condition; otherwise the test fails. */
    public static void await(String description, BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("not within 30 s: " + description);
            }
            LockSupport.parkNanos(5_000_000);
        }
    }

    /** Stops the load, waits for pending answers, drains the nodes, and audits all records. */
    AuditReport audit() throws IOException {
        environment.runOnLoop(() -> environment.loadGenerator().stop());
        await(
                "no client request is pending",
                () -> environment.callOnLoop(() -> environment.loadGenerator().openRequests()) == 0);
        List<TrafficRecord> all = new ArrayList<>(records);
        fronts.forEach(FrontNode::drain);
        fronts.forEach(f -> f.termination().join());
        all.addAll(RecordReader.readAll(folder));
        all.sort(Comparator.comparingLong(TrafficRecord::timeTicks));
        return Auditor.audit(all);
    }

    @Override
    public void close() {
        fronts.forEach(FrontNode::drain);
        environment.close();
    }
}

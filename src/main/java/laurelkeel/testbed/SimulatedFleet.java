package laurelkeel.testbed;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.records.RecordClock;
import laurelkeel.records.RecordTerms;
import laurelkeel.records.TrafficRecord;
import laurelkeel.wire.HttpRequest;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;

/** All stand-in machines of a place, on one thread; it starts, drains and breaks them, and tells who watches. */
public final class SimulatedFleet {
    /** Reqs over its budget that a cold machine bears, for chance. */
    public static final int TIP_SLACK = 5;

    final EventLoop loop;
    final ServerProfile shape;
    final List<String> zones;
    final ExecutorService executor = Executors.newCachedThreadPool(r -> {
        Thread t = new Thread(r, "standin-io");
        t.setDaemon(true);
        return t;
    });
    final SimpleIoProcessorPool<NioSession> processors =
            new SimpleIoProcessorPool<>(NioProcessor.class, executor, 2, null);
    private final SplittableRandom random;
    private final Consumer<TrafficRecord> records;
    private final Map<String, String> routes;
    private final Map<String, SimulatedServer> machines = new LinkedHashMap<>();
    private final Map<String, DeduplicationCache> marks = new HashMap<>();
    private BiConsumer<SimulatedServer, RecordTerms.EndpointState> watcher = (m, s) -> {};
    private long runs;
    private long slowUntil;
    private double slowBy = 1;

    /** @param routes route names by path prefix */
    public SimulatedFleet(
            EventLoop loop,
            ServerProfile shape,
            List<String> zones,
            Map<String, String> routes,
            long seed,
            Consumer<TrafficRecord> records) {
        this.loop = loop;
        this.shape = shape;
        this.zones = List.copyOf(zones);
        this.routes = Map.copyOf(routes);
        this.random = new SplittableRandom(seed);
        this.records = records;
    }

    /** Told of every change of state, on the fleet's thread. */
    public void watch(BiConsumer<SimulatedServer, RecordTerms.EndpointState> watcher) {
        this.watcher = watcher;
    }

    long time() {
        return RecordClock.nowTicks();
    }

    void record(TrafficRecord r) {
        records.accept(r);
    }

    double chance() {
        return random.nextDouble();
    }

    String route(HttpRequest http) {
        String path = http.path();
        for (Map.Entry<String, String> e : routes.entrySet()) {
            if (path.startsWith(e.getKey())) {
                return e.getValue();
            }
        }
        return "";
    }

    DeduplicationCache marks(RecordTerms.DeduplicationScope group, SimulatedServer m) {
        String of =
                switch (group) {
                    case ALL -> "all";
                    case ZONE -> "zone " + m.zone;
                    case CELL -> "cell " + m.cell;
                };
        return marks.computeIfAbsent(of, k -> new DeduplicationCache());
    }

    double slowAll() {
        List<SimulatedServer> live = live();
        // a build's harm to all goes with its share of the machines
        double harm =
                live.stream().mapToDouble(m -> m.build.fleetSlowdown() - 1).sum() / Math.max(1, live.size());
        return (loop.nowTicks() < slowUntil ? slowBy : 1) * (1 + harm);
    }

    /** Something that all machines depend on slows. */
    public void slowAll(double by, long until) {
        slowBy = by;
        slowUntil = until;
    }

    public List<SimulatedServer> machines() {
        return new ArrayList<>(machines.values());
    }

    public List<SimulatedServer> live() {
        return machines.values().stream()
                .filter(m -> !m.dead && m.state == RecordTerms.EndpointState.ACTIVE)
                .toList();
    }

    public List<SimulatedServer> live(int build) {
        return live().stream().filter(m -> m.build.number() == build).toList();
    }

    /** Starts a machine; at null gives it a free port. */
    public SimulatedServer start(InetSocketAddress at, BuildProfile build, int place, boolean cold) {
        try {
            SimulatedServer m = new SimulatedServer(
                    this,
                    at == null ? new InetSocketAddress("127.0.0.1", PortAllocator.allocate()) : at,
                    ++runs,
                    zones.get(place % zones.size()),
                    place % zones.size(),
                    build,
                    cold);
            machines.put(m.id, m);
            watcher.accept(m, RecordTerms.EndpointState.ACTIVE);
            return m;
        } catch (IOException e) {
            throw new UncheckedIOException("a stand-in machine could not open its port", e);
        }
    }

    /** Takes no new work, and is gone once it has nothing left or after most. */
    public void drain(SimulatedServer m, long most) {
        if (m.state == RecordTerms.EndpointState.ACTIVE && !m.dead) {
            m.state = RecordTerms.EndpointState.DRAINING;
            watcher.accept(m, RecordTerms.EndpointState.DRAINING);
            // fronts need the news before it goes
            loop.schedule(loop.nowTicks() + 8_000, () -> drained(m, loop.nowTicks() + most));
        }
    }

    private void drained(SimulatedServer m, long latest) {
        if (m.dead) {
            return;
        }
        if (m.held() == 0 || loop.nowTicks() >= latest) {
            m.die(RecordTerms.StopReason.DRAINED);
            died(m);
        } else {
            loop.schedule(loop.nowTicks() + 500, () -> drained(m, latest));
        }
    }

    /** Dies at once. */
    public void kill(SimulatedServer m) {
        m.die(RecordTerms.StopReason.CRASHED);
        died(m);
    }

    void died(SimulatedServer m) {
        if (m.state != RecordTerms.EndpointState.REMOVED) {
            m.state = RecordTerms.EndpointState.REMOVED;
            machines.remove(m.id, m);
            watcher.accept(m, RecordTerms.EndpointState.REMOVED);
        }
    }

    public void close() {
        for (SimulatedServer m : machines()) {
            m.die(RecordTerms.StopReason.CLOSED);
        }
        processors.dispose();
        executor.shutdown();
    }
}

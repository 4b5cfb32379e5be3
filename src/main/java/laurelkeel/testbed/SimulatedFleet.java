package laurelkeel.testbed;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.records.RecordClock;
import laurelkeel.records.RecordTerms.DeduplicationScope;
import laurelkeel.records.RecordTerms.EndpointState;
import laurelkeel.records.RecordTerms.StopReason;
import laurelkeel.records.TrafficRecord;
import laurelkeel.wire.HttpRequest;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.jspecify.annotations.Nullable;

/**
 * All simulated servers: starts, drains and crashes them and notifies a listener of their state changes. Unless stated
 * otherwise, methods must be called on the loop's thread.
 */
public final class SimulatedFleet {
    private static final int IO_THREADS = 2;
    /** Time between the announcement of a drain and the earliest stop, so that nodes receive the announcement first. */
    private static final long DRAIN_NOTICE_TICKS = 8_000;

    private static final long DRAIN_CHECK_TICKS = 500;

    /** Listener for servers' state changes. */
    public interface StateListener {
        /** Called when a server has entered a state. */
        void stateChanged(SimulatedServer server, EndpointState state);
    }

    final EventLoop loop;
    final ExecutorService executor = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "test-bed-io");
        thread.setDaemon(true);
        return thread;
    });
    final SimpleIoProcessorPool<NioSession> processors =
            new SimpleIoProcessorPool<>(NioProcessor.class, executor, IO_THREADS, null);
    private final ServerProfile profile;
    private final List<String> zones;
    private final SplittableRandom random;
    private final Consumer<TrafficRecord> records;
    private final Map<String, String> routesByPathPrefix;
    private final Map<String, SimulatedServer> servers = new LinkedHashMap<>();
    private final Map<String, DeduplicationCache> deduplicationCaches = new HashMap<>();
    private StateListener stateListener = (server, state) -> {};
    private long startedServers;
    private long slowUntilTicks;
    private double slowFactor = 1;

    /**
     * Creates an empty fleet.
     *
     * @param routesByPathPrefix names of the routes, by path prefix
     */
    public SimulatedFleet(
            EventLoop loop,
            ServerProfile profile,
            List<String> zones,
            Map<String, String> routesByPathPrefix,
            long seed,
            Consumer<TrafficRecord> records) {
        this.loop = loop;
        this.profile = profile;
        this.zones = List.copyOf(zones);
        this.routesByPathPrefix = Map.copyOf(routesByPathPrefix);
        this.random = new SplittableRandom(seed);
        this.records = records;
    }

    /** Sets the listener that is notified of all state changes from now on. */
    public void setStateListener(StateListener listener) {
        this.stateListener = listener;
    }

    ServerProfile profile() {
        return profile;
    }

    int zoneIndex(String zone) {
        return zones.indexOf(zone);
    }

    /** Returns the current time for records; callable on any thread. */
    long recordTicks() {
        return RecordClock.nowTicks();
    }

    void record(TrafficRecord trafficRecord) {
        records.accept(trafficRecord);
    }

    /** Returns the next random number from 0 to below 1; the fleet and its rollouts share one seeded source. */
    double nextRandom() {
        return random.nextDouble();
    }

    /** Returns the name of a request's route; empty if none matches. */
    String routeOf(HttpRequest request) {
        String path = request.path();
        for (Map.Entry<String, String> route : routesByPathPrefix.entrySet()) {
            if (path.startsWith(route.getKey())) {
                return route.getValue();
            }
        }
        return "";
    }

    /** Returns the cache that a server shares with the other servers in its scope. */
    DeduplicationCache deduplicationCache(DeduplicationScope scope, SimulatedServer server) {
        String group =
                switch (scope) {
                    case ALL -> "all";
                    case ZONE -> "zone " + server.zone;
                    case CELL -> "cell " + server.cell;
                };
        return deduplicationCaches.computeIfAbsent(group, key -> new DeduplicationCache());
    }

    /**
     * Returns the current factor on the duration of all work. A build's slowdown grows with its share of the servers.
     */
    double slowdown() {
        List<SimulatedServer> active = activeServers();
        double buildSlowdown = active.stream()
                        .mapToDouble(server -> server.build.fleetSlowdown() - 1)
                        .sum()
                / Math.max(1, active.size());
        return (loop.nowTicks() < slowUntilTicks ? slowFactor : 1) * (1 + buildSlowdown);
    }

    /** Slows all servers by a factor until a given time, as a slow shared dependency would. */
    public void slowDown(double factor, long untilTicks) {
        slowFactor = factor;
        slowUntilTicks = untilTicks;
    }

    /** Returns the servers that accept requests. */
    public List<SimulatedServer> activeServers() {
        return servers.values().stream().filter(SimulatedServer::isActive).toList();
    }

    /** Returns the servers of one build that accept requests. */
    public List<SimulatedServer> activeServers(int build) {
        return activeServers().stream()
                .filter(server -> server.build.number() == build)
                .toList();
    }

    /**
     * Starts a server.
     *
     * @param address the address to bind; null for a free port
     * @param slot determines the server's zone and cell
     * @throws UncheckedIOException if the port is in use
     */
    public SimulatedServer startServer(
            @Nullable InetSocketAddress address, BuildProfile build, int slot, boolean cold) {
        try {
            InetSocketAddress boundAddress = address == null
                    ? new InetSocketAddress(InetAddress.getLoopbackAddress(), PortAllocator.allocate())
                    : address;
            startedServers++;
            int cell = slot % zones.size();
            SimulatedServer server =
                    new SimulatedServer(this, boundAddress, startedServers, zones.get(cell), cell, build, cold);
            servers.put(server.endpointId, server);
            stateListener.stateChanged(server, EndpointState.ACTIVE);
            return server;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot bind the port of a simulated server", e);
        }
    }

    /** Drains a server: it rejects new requests and stops when it has none left or the maximum time has passed. */
    public void drain(SimulatedServer server, long maxDrainTicks) {
        if (server.isActive()) {
            server.setState(EndpointState.DRAINING);
            stateListener.stateChanged(server, EndpointState.DRAINING);
            loop.schedule(
                    loop.nowTicks() + DRAIN_NOTICE_TICKS,
                    () -> stopWhenDrained(server, loop.nowTicks() + maxDrainTicks));
        }
    }

    private void stopWhenDrained(SimulatedServer server, long latestTicks) {
        if (server.isStopped()) {
            return;
        }
        if (server.inFlight() == 0 || loop.nowTicks() >= latestTicks) {
            server.stop(StopReason.DRAINED);
            remove(server);
        } else {
            loop.schedule(loop.nowTicks() + DRAIN_CHECK_TICKS, () -> stopWhenDrained(server, latestTicks));
        }
    }

    /** Stops a server immediately, with all its open requests. */
    public void crash(SimulatedServer server) {
        server.stop(StopReason.CRASHED);
        remove(server);
    }

    /** Removes a server that has stopped. */
    void remove(SimulatedServer server) {
        if (server.state() != EndpointState.REMOVED) {
            server.setState(EndpointState.REMOVED);
            servers.remove(server.endpointId, server);
            stateListener.stateChanged(server, EndpointState.REMOVED);
        }
    }

    /** Stops all servers. */
    public void close() {
        for (SimulatedServer server : new ArrayList<>(servers.values())) {
            server.stop(StopReason.CLOSED);
        }
        processors.dispose();
        executor.shutdown();
    }
}

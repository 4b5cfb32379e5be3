package laurelkeel.testbed;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.records.RecordClock;
import laurelkeel.records.RecordTerms.EndpointState;

/**
 * A simulated endpoint list service: answers calls with snapshots and streams deltas to watches, both after a
 * configurable delay. It can be made stale or unavailable, and rejects calls beyond a rate limit. Public methods must
 * be called on the loop's thread.
 */
public final class EndpointListService {
    private static final String LIST_PATH = "/list";
    private static final String WATCH_PATH = "/list/watch";
    private static final String VERSION_PARAMETER = "after=";
    private static final int MAX_DELTAS = 500;
    private static final long NO_VERSION = -1;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private record ListedEndpoint(
            String endpointId,
            int build,
            String zone,
            int cell,
            EndpointState state,
            long incarnation,
            boolean startedCold) {
        static ListedEndpoint of(SimulatedServer server, EndpointState state) {
            return new ListedEndpoint(
                    server.endpointId,
                    server.build.number(),
                    server.zone,
                    server.cell,
                    state,
                    server.incarnation,
                    server.startedCold);
        }
    }

    private record Delta(long version, ListedEndpoint endpoint) {}

    private final EventLoop loop;
    private final JsonLineService service = new JsonLineService();
    private final long delayTicks;
    private final int callsPerSecond;
    private final Map<String, ListedEndpoint> endpoints = new LinkedHashMap<>();
    private final Map<String, Long> startTicks = new LinkedHashMap<>();
    private final ArrayDeque<Delta> deltas = new ArrayDeque<>();
    private long version = 1;
    private long staleUntilTicks;
    private long currentSecond;
    private int callsInSecond;
    private volatile boolean isDown;

    /**
     * Creates a service that receives state changes from a fleet and has not started.
     *
     * @param delayTicks delay after which a change becomes visible in the list
     * @param callsPerSecond rate beyond which calls are rejected
     * @throws IOException if no port can be opened
     */
    public EndpointListService(EventLoop loop, SimulatedFleet fleet, long delayTicks, int callsPerSecond)
            throws IOException {
        this.loop = loop;
        this.delayTicks = delayTicks;
        this.callsPerSecond = callsPerSecond;
        fleet.setStateListener((server, state) ->
                applyLater(ListedEndpoint.of(server, state), server.startTicks, loop.nowTicks() + delayTicks));
        service.handle(WATCH_PATH, this::watch);
        service.handle(LIST_PATH, this::list);
    }

    /** Starts serving and returns the address. */
    public InetSocketAddress start() {
        service.start();
        return service.address();
    }

    /** Ends all watches and closes the port. */
    public void close() {
        service.close();
    }

    /** Defers all changes until a given time, then applies them together. */
    public void setStaleUntil(long untilTicks) {
        staleUntilTicks = untilTicks;
    }

    /** Ends all watches and rejects calls until a given time. */
    public void setDownUntil(long untilTicks) {
        isDown = true;
        service.closeWatchers();
        loop.schedule(untilTicks, () -> isDown = false);
    }

    private void applyLater(ListedEndpoint endpoint, long serverStartTicks, long dueTicks) {
        long notBeforeTicks = Math.max(dueTicks, staleUntilTicks + delayTicks);
        loop.schedule(notBeforeTicks, () -> {
            if (loop.nowTicks() < staleUntilTicks) {
                applyLater(endpoint, serverStartTicks, staleUntilTicks);
            } else {
                apply(endpoint, serverStartTicks);
            }
        });
    }

    private synchronized void apply(ListedEndpoint endpoint, long serverStartTicks) {
        String endpointId = endpoint.endpointId();
        ListedEndpoint known = endpoints.get(endpointId);
        if (known != null && known.incarnation() > endpoint.incarnation()) {
            return;
        }
        version++;
        startTicks.put(endpointId, serverStartTicks);
        if (endpoint.state() == EndpointState.REMOVED) {
            endpoints.remove(endpointId);
        } else {
            endpoints.put(endpointId, endpoint);
        }
        deltas.addLast(new Delta(version, endpoint));
        if (deltas.size() > MAX_DELTAS) {
            deltas.removeFirst();
        }
        EndpointListLine message = message(EndpointListLine.DELTA, version - 1, List.of(endpoint));
        service.watchers().forEach(watcher -> watcher.send(message));
    }

    private EndpointListLine message(String kind, long previous, Collection<ListedEndpoint> listed) {
        return new EndpointListLine(
                kind, version, previous, listed.stream().map(this::message).toList());
    }

    private EndpointListLine.Endpoint message(ListedEndpoint endpoint) {
        double ageMillis = EndpointListLine.Endpoint.STARTED_WARM;
        if (endpoint.startedCold()) {
            long startedAtTicks = startTicks.getOrDefault(endpoint.endpointId(), loop.clockTicks());
            ageMillis = (loop.clockTicks() - startedAtTicks) / RecordClock.TICKS_PER_MILLISECOND;
        }
        return new EndpointListLine.Endpoint(
                endpoint.endpointId(),
                endpoint.build(),
                endpoint.zone(),
                endpoint.cell(),
                0,
                1.0,
                ServiceTerms.wireName(endpoint.state()),
                endpoint.incarnation(),
                ageMillis);
    }

    private synchronized EndpointListLine snapshot() {
        return message(EndpointListLine.SNAPSHOT, 0, endpoints.values());
    }

    private synchronized boolean admitCall() {
        long second = loop.clockTicks() / RecordClock.TICKS_PER_SECOND;
        callsInSecond = second == currentSecond ? callsInSecond + 1 : 1;
        currentSecond = second;
        return !isDown && callsInSecond <= callsPerSecond;
    }

    private void list(HttpExchange exchange) throws IOException {
        if (admitCall()) {
            JsonLineService.respond(exchange, OK, snapshot());
        } else {
            JsonLineService.respond(exchange, UNAVAILABLE, null);
        }
    }

    private void watch(HttpExchange exchange) throws IOException {
        if (!admitCall()) {
            JsonLineService.respond(exchange, UNAVAILABLE, null);
            return;
        }
        String query = exchange.getRequestURI().getQuery();
        long knownVersion = query != null && query.startsWith(VERSION_PARAMETER)
                ? Long.parseLong(query.substring(VERSION_PARAMETER.length()))
                : NO_VERSION;
        JsonLineService.Watcher watcher = new JsonLineService.Watcher();
        addWatcher(watcher, knownVersion);
        service.stream(exchange, watcher);
    }

    /**
     * Sends a new watcher the changes since its version and registers it, atomically with regard to further changes.
     */
    private synchronized void addWatcher(JsonLineService.Watcher watcher, long knownVersion) {
        if (hasDeltasSince(knownVersion)) {
            List<ListedEndpoint> missed = new ArrayList<>();
            for (Delta delta : deltas) {
                if (delta.version() > knownVersion) {
                    missed.add(delta.endpoint());
                }
            }
            watcher.send(message(EndpointListLine.DELTA, knownVersion, missed));
        } else {
            watcher.send(snapshot());
        }
        service.addWatcher(watcher);
    }

    private boolean hasDeltasSince(long knownVersion) {
        if (knownVersion < 0 || knownVersion > version) {
            return false;
        }
        Delta oldest = deltas.peekFirst();
        return knownVersion == version || (oldest != null && oldest.version() <= knownVersion + 1);
    }
}

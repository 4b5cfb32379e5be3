package laurelkeel.testbed;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.records.RecordTerms;

/**
 * The machine list as a service: whole on a call, changes on a watch, both as late as it is set to be. It can run
 * stale, be down, and turn calls away past its rate.
 */
public final class EndpointListService {
    private static final int KEPT = 500;

    private record Change(long version, Map<String, Object> machine) {}

    private final EventLoop loop;
    private final JsonLineService service = new JsonLineService();
    private final long lag;
    private final int callsPerSecond;
    private final Map<String, Map<String, Object>> now = new LinkedHashMap<>();
    private final Map<String, Long> startedAt = new LinkedHashMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private long version = 1;
    private long staleUntil, secondOf;
    private int callsInSecond;
    private volatile boolean down;

    /** @param lag how late it learns, in tenths of a millisecond */
    public EndpointListService(EventLoop loop, SimulatedFleet fleet, long lag, int callsPerSecond) throws IOException {
        this.loop = loop;
        this.lag = lag;
        this.callsPerSecond = callsPerSecond;
        fleet.watch((m, state) -> later(entry(m, state), m.startedAt, loop.nowTicks() + lag));
        service.on("/list/watch", this::watch);
        service.on("/list", x -> {
            if (allowed()) {
                JsonLineService.say(x, 200, whole());
            } else {
                JsonLineService.say(x, 503, null);
            }
        });
    }

    public InetSocketAddress start() {
        service.start();
        return service.address();
    }

    public void close() {
        service.close();
    }

    /** Learns nothing new for a while; then all at once. */
    public void stale(long until) {
        staleUntil = until;
    }

    /** Cuts all watchers and answers nobody for a while. */
    public void down(long until) {
        down = true;
        service.watchers.forEach(JsonLineService.Watcher::cut);
        loop.schedule(until, () -> down = false);
    }

    private static Map<String, Object> entry(SimulatedServer m, RecordTerms.EndpointState state) {
        Map<String, Object> e = new LinkedHashMap<>();
        e.put("machine", m.id);
        e.put("build", m.build.number());
        e.put("zone", m.zone);
        e.put("cell", m.cell);
        e.put("kind", 0);
        e.put("size", 1.0);
        e.put("state", state.storedName().toLowerCase(Locale.ROOT));
        e.put("run", m.run);
        e.put("cold", m.cold);
        return e;
    }

    private void later(Map<String, Object> entry, long started, long at) {
        long when = Math.max(at, staleUntil + lag);
        loop.schedule(when, () -> {
            if (loop.nowTicks() < staleUntil) {
                later(entry, started, staleUntil);
            } else {
                apply(entry, started);
            }
        });
    }

    private synchronized void apply(Map<String, Object> entry, long started) {
        String id = (String) entry.get("machine");
        Map<String, Object> known = now.get(id);
        boolean older = known != null && (long) known.get("run") > (long) entry.get("run");
        if (older) {
            return;
        }
        version++;
        startedAt.put(id, started);
        if (entry.get("state").equals("gone")) {
            now.remove(id);
        } else {
            now.put(id, entry);
        }
        changes.addLast(new Change(version, entry));
        if (changes.size() > KEPT) {
            changes.pollFirst();
        }
        Map<String, Object> line = line("changes", version - 1, List.of(entry));
        service.watchers.forEach(w -> w.tell(line));
    }

    private Map<String, Object> line(String kind, long previous, List<Map<String, Object>> machines) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("kind", kind);
        line.put("version", version);
        line.put("previous", previous);
        line.put("machines", machines.stream().map(this::aged).toList());
        return line;
    }

    private Map<String, Object> aged(Map<String, Object> entry) {
        Map<String, Object> e = new LinkedHashMap<>(entry);
        boolean cold = (boolean) e.remove("cold");
        e.put("ageMs", cold ? (loop.clockTicks() - startedAt.get((String) e.get("machine"))) / 10.0 : -1);
        return e;
    }

    private synchronized Map<String, Object> whole() {
        return line("full", 0, new ArrayList<>(now.values()));
    }

    private synchronized boolean allowed() {
        long second = loop.clockTicks() / 10_000;
        callsInSecond = second == secondOf ? callsInSecond + 1 : 1;
        secondOf = second;
        return !down && callsInSecond <= callsPerSecond;
    }

    private void watch(HttpExchange x) throws IOException {
        if (!allowed()) {
            JsonLineService.say(x, 503, null);
            return;
        }
        String query = x.getRequestURI().getQuery();
        long after = query != null && query.startsWith("after=") ? Long.parseLong(query.substring(6)) : -1;
        JsonLineService.Watcher w = new JsonLineService.Watcher();
        synchronized (this) {
            boolean known = after >= 0
                    && after <= version
                    && (after == version || (!changes.isEmpty() && changes.peekFirst().version <= after + 1));
            if (known) {
                w.tell(line(
                        "changes",
                        after,
                        changes.stream()
                                .filter(c -> c.version > after)
                                .map(Change::machine)
                                .toList()));
            } else {
                w.tell(whole());
            }
            service.watchers.add(w);
        }
        service.stream(x, w);
    }
}

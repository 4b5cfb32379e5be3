package laurelkeel.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import laurelkeel.api.Event;
import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.front.upstream.EndpointAddress;

/** Discovery's list: what it says of each machine, and where each is reached. Loop only. */
final class EndpointDirectory {
    /** What discovery knows has come after six seconds: who is older still then has begun anew. */
    private static final long CATCH_UP = 60_000;

    private static final Map<String, EndpointState> STATES =
            Map.of("active", EndpointState.ACTIVE, "leaving", EndpointState.DRAINING, "left", EndpointState.REMOVED);

    /** A machine as it was last listed, with its start as discovery told it; changed is when it came to stand so. */
    private record Entry(EndpointEntry is, EndpointAddress place, long startedMs, long changed) {}

    private final List<String> zones, kinds;
    private final StartTimeTranslator starts;
    private final Consumer<String> left;
    private final Map<String, Entry> entries = new HashMap<>();
    private long version = -1;
    /** A watch has told something in this life: what it tells from then on as a change has just come to pass. */
    private boolean watched;
    /** Since when whole lists come that are older than what is held; -1 while none does. */
    private long olderSince = -1;

    /**
     * @param starts maps starts to the front's clock
     * @param left told the key of each place that is no machine's any more
     */
    EndpointDirectory(List<String> zones, List<String> kinds, StartTimeTranslator starts, Consumer<String> left) {
        this.zones = new ArrayList<>(zones);
        this.kinds = new ArrayList<>(kinds);
        this.starts = starts;
        this.left = left;
    }

    long version() {
        return version;
    }

    boolean empty() {
        return entries.isEmpty();
    }

    /** What the watch tells as an event; null where it is nothing new. */
    Event.EndpointListUpdate told(JsonNode value, long now) throws MalformedMessageException {
        return read(value, false, now);
    }

    /** The list of the configuration, as this node last had it. */
    Event.EndpointListUpdate known(JsonNode known, long now) throws MalformedMessageException {
        return read(known, true, now);
    }

    private Event.EndpointListUpdate read(JsonNode line, boolean remembered, long now)
            throws MalformedMessageException {
        JsonNode servers = line == null ? null : line.get("servers");
        if (servers == null || !servers.isArray() || !line.path("version").isIntegralNumber()) {
            throw new MalformedMessageException("no list: " + MalformedMessageException.shown(String.valueOf(line)));
        }
        boolean full = line.path("full").asBoolean(false);
        long to = line.path("version").longValue();
        if (!full && to <= version) {
            return null;
        }
        if (full && to < version) {
            olderSince = olderSince < 0 ? now : olderSince;
            if (now < olderSince + CATCH_UP) {
                // who tells it lags behind, or told it long ago: it may name machines that drain as sound ones
                throw new MalformedMessageException(
                        "a whole list of version " + to + ", where " + version + " is held");
            }
        }
        olderSince = -1;
        // all are read before any is followed: a line that is spoilt at its end changes nothing
        List<Entry> told = new ArrayList<>();
        for (JsonNode s : servers) {
            told.add(entry(s, now, watched && !full));
        }
        watched |= !remembered;
        Set<String> named = new HashSet<>();
        for (Entry e : told) {
            String id = e.is.endpointId();
            named.add(id);
            Entry was = entries.get(id);
            boolean there = was != null && was.place.equals(e.place);
            if (was != null && !there) {
                left.accept(was.place.key());
            }
            if (e.is.state() == EndpointState.REMOVED) {
                entries.remove(id);
                left.accept(e.place.key());
            } else if (!there || was.is.state() != e.is.state()) {
                entries.put(id, e);
            } else {
                entries.put(id, new Entry(e.is, e.place, e.startedMs, was.changed));
            }
        }
        if (full) {
            entries.values().removeIf(e -> {
                boolean gone = !named.contains(e.is.endpointId());
                if (gone) {
                    left.accept(e.place.key());
                }
                return gone;
            });
        }
        version = to;
        return new Event.EndpointListUpdate(
                remembered ? EndpointListKind.CACHED : full ? EndpointListKind.SNAPSHOT : EndpointListKind.DELTA,
                told.stream().map(Entry::is).toList());
    }

    private Entry entry(JsonNode s, long now, boolean change) throws MalformedMessageException {
        String id = s.path("id").asText("");
        EndpointState state = STATES.get(s.path("state").asText(""));
        if (id.isEmpty() || state == null) {
            throw new MalformedMessageException(
                    "a machine without id or state: " + MalformedMessageException.shown(s.toString()));
        }
        double size = s.path("weight").asDouble(1);
        long startedMs = s.path("started_ms").asLong(0);
        Entry was = entries.get(id);
        // the moment of one start is worked out once, or jitter would pass for a new start
        long started = was != null && was.startedMs == startedMs
                ? was.is.startedAtTicks()
                : starts.moment(startedMs, now, change && state != EndpointState.REMOVED);
        EndpointEntry is = new EndpointEntry(
                id,
                s.path("revision_no").asInt(0),
                number(zones, s.path("zone").asText("")),
                s.path("cell").asInt(0),
                number(kinds, s.path("kind").asText("")),
                size > 0 ? size : 1,
                state,
                started);
        String addr = s.path("addr").asText("");
        // the same machine anew, with another build or elsewhere gets no connection of its forerunner
        return new Entry(
                is,
                new EndpointAddress(
                        id + "@" + addr + "/" + is.build() + "/" + is.startedAtTicks(), Ipv4Addresses.of(addr)),
                startedMs,
                now);
    }

    /** Names are numbered in the settings' order, and any others as they are met. */
    private static int number(List<String> names, String name) {
        int i = names.indexOf(name);
        if (i < 0) {
            names.add(name);
            i = names.size() - 1;
        }
        return i;
    }

    /** Where a machine is; where it is listed no more it cannot be reached. */
    EndpointAddress place(String machine) {
        Entry e = entries.get(machine);
        return e == null ? new EndpointAddress(machine, null) : e.place;
    }

    /** The build of a machine that stands as it did at a moment and takes new reqs; -1 for any other. */
    int sameSince(String machine, long moment) {
        Entry e = entries.get(machine);
        return e == null || e.is.state() != EndpointState.ACTIVE || e.changed > moment ? -1 : e.is.build();
    }
}

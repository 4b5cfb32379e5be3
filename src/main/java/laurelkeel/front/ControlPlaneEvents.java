package laurelkeel.front;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import laurelkeel.api.Event;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.controlplane.EndpointListMessage;
import laurelkeel.front.controlplane.RolloutMessage;
import laurelkeel.records.Recorder;
import laurelkeel.records.TrafficRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Turns what a front is told into events and keeps the record of it. Starts are told as ages, for clocks differ;
 * the moment of one start is worked out once and stays, or jitter would pass for a new start.
 */
final class ControlPlaneEvents {
    private static final Logger LOG = LoggerFactory.getLogger(ControlPlaneEvents.class);
    private static final long LONG_AGO = 3_600_000;

    private record Start(long run, long at) {}

    private final FrontSettings set;
    private final String life;
    private final EventLoop loop;
    private final EndpointListCache last;
    private final Recorder records;
    private final Map<String, Start> starts = new HashMap<>();
    private final Map<String, EndpointListMessage.Machine> now = new LinkedHashMap<>();
    private final Map<Integer, RolloutMessage> onTrial = new LinkedHashMap<>();
    private final List<String> zones = new ArrayList<>();

    ControlPlaneEvents(FrontSettings set, String life, EventLoop loop, EndpointListCache last) throws IOException {
        this.set = set;
        this.life = life;
        this.loop = loop;
        this.last = last;
        this.records = set.recordFile() == null ? null : new Recorder(set.recordFile(), true);
        record(new TrafficRecord.FrontUp(Recorder.now(), self(), life));
    }

    private int self() {
        return set.decisionSettings().nodeIndex();
    }

    private void record(TrafficRecord r) {
        if (records != null) {
            records.record(r);
        }
    }

    /** Records that the disk did not take. */
    long lost() {
        return records == null ? 0 : records.lost();
    }

    void close() {
        record(new TrafficRecord.FrontDown(Recorder.now(), self(), false));
        try {
            if (records != null) {
                records.close();
            }
        } catch (IOException e) {
            LOG.warn("the records could not be closed: {}", e.getMessage());
        }
    }

    /** The host's clock at a moment of the front's. */
    private long hostTime(long arrived) {
        return Recorder.now() - (loop.clockTicks() - arrived);
    }

    /** The list kept from the life before. */
    Event.EndpointListUpdate remembered() {
        List<EndpointListMessage.Machine> kept = last.read();
        Event.EndpointListUpdate e = event(Event.EndpointListKind.CACHED, kept, loop.clockTicks());
        // the first real list tells better ages
        starts.clear();
        now.clear();
        return e;
    }

    Event.EndpointListUpdate list(EndpointListMessage line, long arrived) {
        boolean full = line.kind().equals("full");
        if (full) {
            now.clear();
            Set<String> named = new HashSet<>();
            line.machines().forEach(m -> named.add(m.machine()));
            // what a gap in the watch hid is told gone by no line: its start would stay for ever
            starts.keySet().retainAll(named);
        }
        for (EndpointListMessage.Machine m : line.machines()) {
            if (m.state().equals("gone")) {
                now.remove(m.machine());
            } else {
                now.put(m.machine(), m);
            }
        }
        last.keep(now.values());
        return event(full ? Event.EndpointListKind.SNAPSHOT : Event.EndpointListKind.DELTA, line.machines(), arrived);
    }

    private Event.EndpointListUpdate event(
            Event.EndpointListKind kind, List<EndpointListMessage.Machine> machines, long arrived) {
        List<Event.EndpointEntry> listed = new ArrayList<>();
        List<TrafficRecord.Entry> entries = new ArrayList<>();
        for (EndpointListMessage.Machine m : machines) {
            Event.EndpointState state;
            try {
                state = WireTerms.endpointState(m.state());
            } catch (IllegalArgumentException e) {
                LOG.warn("machine {} has the unknown state '{}' and is taken as draining", m.machine(), m.state());
                state = Event.EndpointState.DRAINING;
            }
            Start start = starts.get(m.machine());
            if (start == null || start.run != m.run()) {
                long age = m.ageMs() < 0 ? Long.MAX_VALUE : (long) Math.ceil(m.ageMs() * 10);
                start = new Start(m.run(), age > LONG_AGO * 10 ? 0 : Math.max(1, arrived - age));
                starts.put(m.machine(), start);
            }
            if (state == Event.EndpointState.REMOVED) {
                starts.remove(m.machine());
            }
            listed.add(new Event.EndpointEntry(
                    m.machine(),
                    m.build(),
                    zone(m.zone()),
                    m.cell(),
                    m.kind(),
                    m.size() > 0 ? m.size() : 1,
                    state,
                    start.at));
            entries.add(new TrafficRecord.Entry(m.machine(), m.run(), m.build(), WireTerms.recorded(state)));
        }
        if (records != null) {
            record(new TrafficRecord.ToldList(hostTime(arrived), self(), life, WireTerms.recorded(kind), entries));
        }
        return new Event.EndpointListUpdate(kind, listed);
    }

    /** Zones are numbered as they are met, this front's own first. */
    private int zone(String name) {
        if (zones.isEmpty()) {
            zones.addAll(set.zones());
        }
        int i = zones.indexOf(name);
        if (i < 0) {
            zones.add(name);
            i = zones.size() - 1;
        }
        return i;
    }

    private long age(RolloutMessage line, long arrived) {
        // counted from when the bytes came, not from when the loop got to them
        return Math.max(0, (long) Math.floor(line.ageMs() * 10)) + Math.max(0, loop.nowTicks() - arrived);
    }

    /** What a line says; first the end of what it no longer names. */
    List<Event> news(RolloutMessage line, long arrived) {
        if ("counts".equals(line.kind())) {
            return List.of(new Event.BuildStatistics(
                    line.build(),
                    line.route(),
                    line.tries(),
                    line.errors(),
                    (long) (line.meanMs() * 10),
                    age(line, arrived)));
        }
        List<Event> out = new ArrayList<>();
        List<Integer> standing = line.standing() == null ? List.of(line.build()) : line.standing();
        for (RolloutMessage was : List.copyOf(onTrial.values())) {
            // a watch that was away may have missed its end
            boolean passed = line.standing() != null || was.build() < line.build();
            if (passed && was.build() != line.build() && !standing.contains(was.build())) {
                out.add(news(
                        Event.ControlStatus.OK,
                        RolloutMessage.news(was.build(), was.stage(), 0, "withdrawn", 0),
                        arrived,
                        false));
            }
        }
        out.add(news(Event.ControlStatus.OK, line, arrived, false));
        return out;
    }

    private Event.RolloutUpdate news(Event.ControlStatus answer, RolloutMessage line, long arrived, boolean toVote) {
        Event.RolloutPhase phase = WireTerms.phase(line.phase());
        if (answer == Event.ControlStatus.OK) {
            if (phase == Event.RolloutPhase.CANARY) {
                onTrial.put(line.build(), line);
            } else {
                onTrial.remove(line.build());
            }
            record(new TrafficRecord.ToldNews(
                    hostTime(arrived),
                    self(),
                    life,
                    line.build(),
                    line.stage(),
                    line.cap(),
                    WireTerms.recorded(phase)));
        }
        return new Event.RolloutUpdate(
                answer, line.stage(), line.cap(), age(line, arrived), phase, line.build(), toVote);
    }

    Event voted(String answer, int build, RolloutMessage line, long arrived) {
        Event.ControlStatus a = WireTerms.controlStatus(answer);
        if (line == null || line.phase() == null) {
            return new Event.RolloutUpdate(
                    a == Event.ControlStatus.OK ? Event.ControlStatus.FAILED : a,
                    0,
                    0,
                    0,
                    Event.RolloutPhase.CANARY,
                    build,
                    true);
        }
        return news(a, line, arrived, true);
    }
}

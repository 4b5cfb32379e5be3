package laurelkeel.front;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import laurelkeel.api.Event;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.api.Ticks;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.controlplane.EndpointDescription;
import laurelkeel.front.controlplane.EndpointListMessage;

/**
 * Translates the endpoint list into events and stores its last version on disk. The list gives the start of an endpoint
 * as an age, since the clocks of hosts differ. The start time is computed once per start; computing it for each update
 * would let it vary with the delay of the message, and each variation would look like a new start. Not thread-safe;
 * used on the event loop's thread.
 */
final class EndpointListTranslator {
    /** A start longer ago than this is reported as {@link #STARTED_LONG_AGO_TICKS}. */
    private static final long MAX_KNOWN_AGE_TICKS = 3_600 * Ticks.PER_SECOND;

    private static final long STARTED_LONG_AGO_TICKS = 0;

    /** The last known start of an endpoint. */
    private record Start(long incarnation, long atTicks) {}

    private final EventLoop loop;
    private final EndpointListCache cache;
    private final ControlPlaneRecorder recorder;
    private final Map<String, Start> starts = new HashMap<>();
    private final Map<String, EndpointDescription> endpoints = new LinkedHashMap<>();
    /** Names of zones by index: those of the settings first, then others in the order in which the list names them. */
    private final List<String> zones;

    EndpointListTranslator(List<String> zones, EventLoop loop, EndpointListCache cache, ControlPlaneRecorder recorder) {
        this.zones = new ArrayList<>(zones);
        this.loop = loop;
        this.cache = cache;
        this.recorder = recorder;
    }

    /** Reads the list that the previous incarnation of the node stored. */
    Event.EndpointListUpdate cachedList() {
        Event.EndpointListUpdate update = translate(EndpointListKind.CACHED, cache.read(), loop.clockTicks());
        // the first list of the service has current ages; those of the cached list are outdated
        starts.clear();
        return update;
    }

    /** Translates a version of the list and stores the resulting list on disk. */
    Event.EndpointListUpdate translate(EndpointListMessage list, long arrivedAtTicks) {
        if (list.isSnapshot()) {
            endpoints.clear();
            retainStartsOf(list.endpoints());
        }
        for (EndpointDescription endpoint : list.endpoints()) {
            if (endpoint.state() == EndpointState.REMOVED) {
                endpoints.remove(endpoint.endpointId());
            } else {
                endpoints.put(endpoint.endpointId(), endpoint);
            }
        }
        cache.store(endpoints.values());
        return translate(list.kind(), list.endpoints(), arrivedAtTicks);
    }

    /**
     * Forgets the starts of endpoints that a snapshot does not name. An endpoint that was removed while the watch was
     * interrupted is named by no update, so its start would never be forgotten otherwise.
     */
    private void retainStartsOf(List<EndpointDescription> listed) {
        Set<String> endpointIds = new HashSet<>();
        listed.forEach(endpoint -> endpointIds.add(endpoint.endpointId()));
        starts.keySet().retainAll(endpointIds);
    }

    private Event.EndpointListUpdate translate(
            EndpointListKind kind, List<EndpointDescription> descriptions, long arrivedAtTicks) {
        List<Event.EndpointEntry> entries = new ArrayList<>(descriptions.size());
        for (EndpointDescription description : descriptions) {
            entries.add(translate(description, arrivedAtTicks));
        }
        recorder.recordEndpoints(kind, descriptions, arrivedAtTicks);
        return new Event.EndpointListUpdate(kind, entries);
    }

    private Event.EndpointEntry translate(EndpointDescription endpoint, long arrivedAtTicks) {
        Start start = startOf(endpoint, arrivedAtTicks);
        if (endpoint.state() == EndpointState.REMOVED) {
            starts.remove(endpoint.endpointId());
        }
        return new Event.EndpointEntry(
                endpoint.endpointId(),
                endpoint.build(),
                zoneIndex(endpoint.zone()),
                endpoint.cell(),
                endpoint.kind(),
                endpoint.weight() > 0 ? endpoint.weight() : 1,
                endpoint.state(),
                start.atTicks);
    }

    private Start startOf(EndpointDescription endpoint, long arrivedAtTicks) {
        Start start = starts.get(endpoint.endpointId());
        if (start == null || start.incarnation != endpoint.incarnation()) {
            start = new Start(endpoint.incarnation(), startedAtTicks(endpoint.ageMillis(), arrivedAtTicks));
            starts.put(endpoint.endpointId(), start);
        }
        return start;
    }

    private static long startedAtTicks(double ageMillis, long arrivedAtTicks) {
        if (ageMillis < 0) {
            return STARTED_LONG_AGO_TICKS;
        }
        long ageTicks = (long) Math.ceil(ageMillis * Ticks.PER_MILLISECOND);
        return ageTicks > MAX_KNOWN_AGE_TICKS
                ? STARTED_LONG_AGO_TICKS
                : Math.max(STARTED_LONG_AGO_TICKS + 1, arrivedAtTicks - ageTicks);
    }

    private int zoneIndex(String name) {
        int index = zones.indexOf(name);
        if (index < 0) {
            zones.add(name);
            index = zones.size() - 1;
        }
        return index;
    }
}

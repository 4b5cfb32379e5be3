package laurelkeel.platform;

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
import laurelkeel.api.Ticks;
import laurelkeel.front.upstream.EndpointAddress;
import org.jspecify.annotations.Nullable;

/**
 * The endpoint list as discovery last sent it: the state of each endpoint, and where it is reached.
 *
 * <p>Not thread-safe; called on the event loop's thread, or before that thread has started.
 */
final class EndpointDirectory {
    /** What discovery knows arrives within 6 s; a complete list that is still older then is from a restarted discovery. */
    private static final long MAX_LIST_DELAY_TICKS = 6 * Ticks.PER_SECOND;

    private static final long NO_VERSION = -1;
    private static final long NEVER = -1;
    /** What {@link #buildUnchangedSince} returns for an endpoint that has changed. */
    static final int NO_BUILD = -1;

    /**
     * One endpoint as it was last listed.
     *
     * @param startedAtUnixMillis its start as discovery sent it
     * @param stateSinceTicks when it was first listed at this address and in this state
     */
    private record Entry(
            EndpointEntry endpoint, EndpointAddress address, long startedAtUnixMillis, long stateSinceTicks) {
        String id() {
            return endpoint.endpointId();
        }

        Entry withStateSince(long ticks) {
            return new Entry(endpoint, address, startedAtUnixMillis, ticks);
        }
    }

    private final NameTable zones;
    private final NameTable kinds;
    private final StartTimeTranslator startTimes;
    private final Consumer<String> retiredAddresses;
    private final Map<String, Entry> entries = new HashMap<>();
    private long version = NO_VERSION;
    /** Whether a watch has delivered a list; changes that it delivers after that have just happened. */
    private boolean watched;
    /** Since when complete lists arrive that are older than this one. */
    private long staleSinceTicks = NEVER;

    /**
     * Creates an empty one.
     *
     * @param zones names of the zones in the order of the settings
     * @param kinds names of the kinds of endpoints in the order of the settings
     * @param startTimes translates the endpoints' start times
     * @param retiredAddresses receives the key of each address at which its endpoint is not reached any more
     */
    EndpointDirectory(
            List<String> zones, List<String> kinds, StartTimeTranslator startTimes, Consumer<String> retiredAddresses) {
        this.zones = new NameTable(zones);
        this.kinds = new NameTable(kinds);
        this.startTimes = startTimes;
        this.retiredAddresses = retiredAddresses;
    }

    /** The version of the list; below 0 where none is known. */
    long version() {
        return version;
    }

    boolean isEmpty() {
        return entries.isEmpty();
    }

    /**
     * Applies the endpoint list from the configuration, which is the list that this node last knew.
     *
     * @return the event for it; null if it contains nothing new
     * @throws StaleEndpointListException if it is complete and older than the known list
     */
    Event.@Nullable EndpointListUpdate applyCached(DiscoveredEndpointList list, long nowTicks)
            throws StaleEndpointListException {
        return acceptVersion(list.header(), nowTicks) ? applyUpdate(list, true, nowTicks) : null;
    }

    /**
     * Takes note of a list that has arrived and returns whether it holds anything that is not known; to be called once for
     * each list, before its entries are parsed.
     *
     * @throws StaleEndpointListException where it is complete and older than the list that is known
     */
    boolean acceptVersion(DiscoveredListHeader list, long nowTicks) throws StaleEndpointListException {
        if (!list.complete() && list.version() <= version) {
            return false;
        }
        checkNotStale(list, nowTicks);
        return true;
    }

    /** Applies a list from the watch that is news, and returns the event for it. */
    Event.EndpointListUpdate applyUpdate(DiscoveredEndpointList list, long nowTicks) {
        return applyUpdate(list, false, nowTicks);
    }

    private Event.EndpointListUpdate applyUpdate(DiscoveredEndpointList list, boolean cached, long nowTicks) {
        boolean justChanged = watched && !list.complete();
        List<Entry> listed = new ArrayList<>();
        for (DiscoveredEndpoint endpoint : list.endpoints()) {
            listed.add(toEntry(endpoint, nowTicks, justChanged));
        }
        watched |= !cached;
        listed.forEach(this::put);
        if (list.complete()) {
            removeUnlisted(listed);
        }
        version = list.version();
        return new Event.EndpointListUpdate(
                kind(list, cached), listed.stream().map(Entry::endpoint).toList());
    }

    private static EndpointListKind kind(DiscoveredEndpointList list, boolean cached) {
        if (cached) {
            return EndpointListKind.CACHED;
        }
        return list.complete() ? EndpointListKind.SNAPSHOT : EndpointListKind.DELTA;
    }

    /** A source that lags behind may list endpoints as active that are draining. */
    private void checkNotStale(DiscoveredListHeader list, long nowTicks) throws StaleEndpointListException {
        if (list.complete() && list.version() < version) {
            if (staleSinceTicks == NEVER) {
                staleSinceTicks = nowTicks;
            }
            if (nowTicks < staleSinceTicks + MAX_LIST_DELAY_TICKS) {
                throw new StaleEndpointListException(list.version(), version);
            }
        }
        staleSinceTicks = NEVER;
    }

    private Entry toEntry(DiscoveredEndpoint listed, long nowTicks, boolean justChanged) {
        EndpointEntry endpoint = new EndpointEntry(
                listed.id(),
                listed.build(),
                zones.indexOf(listed.zone()),
                listed.cell(),
                kinds.indexOf(listed.kind()),
                listed.weight(),
                listed.state(),
                startedAtTicks(listed, nowTicks, justChanged));
        // an endpoint with a new start, build or address gets no connection of its predecessor
        String key = listed.id() + "@" + listed.address() + "/" + endpoint.build() + "/" + endpoint.startedAtTicks();
        EndpointAddress address = new EndpointAddress(key, listed.socketAddress());
        return new Entry(endpoint, address, listed.startedAtUnixMillis(), nowTicks);
    }

    /** Each start is translated once: a second result may differ a little and would pass for a new start. */
    private long startedAtTicks(DiscoveredEndpoint listed, long nowTicks, boolean justChanged) {
        Entry known = entries.get(listed.id());
        if (known != null && known.startedAtUnixMillis == listed.startedAtUnixMillis()) {
            return known.endpoint.startedAtTicks();
        }
        boolean justStarted = justChanged && listed.state() != EndpointState.REMOVED;
        return startTimes.toTicks(listed.startedAtUnixMillis(), nowTicks, justStarted);
    }

    private void put(Entry listed) {
        Entry known = entries.get(listed.id());
        boolean sameAddress = known != null && known.address.equals(listed.address);
        if (known != null && !sameAddress) {
            retiredAddresses.accept(known.address.key());
        }
        if (listed.endpoint.state() == EndpointState.REMOVED) {
            entries.remove(listed.id());
            retiredAddresses.accept(listed.address.key());
        } else if (known != null && sameAddress && known.endpoint.state() == listed.endpoint.state()) {
            entries.put(listed.id(), listed.withStateSince(known.stateSinceTicks));
        } else {
            entries.put(listed.id(), listed);
        }
    }

    private void removeUnlisted(List<Entry> listed) {
        Set<String> ids = new HashSet<>();
        listed.forEach(entry -> ids.add(entry.id()));
        entries.values().removeIf(entry -> {
            boolean unlisted = !ids.contains(entry.id());
            if (unlisted) {
                retiredAddresses.accept(entry.address.key());
            }
            return unlisted;
        });
    }

    /** Where an endpoint is reached; one that is not listed cannot be reached. */
    EndpointAddress addressOf(String endpointId) {
        Entry entry = entries.get(endpointId);
        return entry == null ? new EndpointAddress(endpointId, null) : entry.address;
    }

    /**
     * Returns the build of an endpoint that is active, at the same address and with the same start since a moment.
     *
     * @return the build, or {@link #NO_BUILD} for any other endpoint
     */
    int buildUnchangedSince(String endpointId, long sinceTicks) {
        Entry entry = entries.get(endpointId);
        if (entry == null || entry.endpoint.state() != EndpointState.ACTIVE || entry.stateSinceTicks > sinceTicks) {
            return NO_BUILD;
        }
        return entry.endpoint.build();
    }
}

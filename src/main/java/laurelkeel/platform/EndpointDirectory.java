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
 * The current endpoint list: the state and address of each endpoint as last sent by discovery.
 *
 * <p>Not thread-safe; called on the event loop's thread, or before that thread has started.
 */
final class EndpointDirectory {
    /**
     * Changes reach this node within 6 s. If discovery still sends older complete lists after that time, it has been
     * restarted and its lists are current.
     */
    private static final long MAX_LIST_DELAY_TICKS = 6 * Ticks.PER_SECOND;

    private static final long NO_VERSION = -1;
    private static final long NEVER = -1;
    /** Returned by {@link #buildUnchangedSince} for an endpoint that has changed. */
    static final int NO_BUILD = -1;

    /**
     * One endpoint as last listed.
     *
     * @param startedAtUnixMillis start time as sent by discovery
     * @param stateSinceTicks when the endpoint was first listed at this address and in this state
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
    private final DepartedEndpoints departed = new DepartedEndpoints();
    private long version = NO_VERSION;
    /** Whether a watch has delivered a list, so that all further changes from it have just happened. */
    private boolean watchDelivered;
    /** When discovery began to send complete lists that are older than the known one; {@link #NEVER} if it does not. */
    private long staleSinceTicks = NEVER;

    /**
     * Creates an empty directory.
     *
     * @param zones names of the zones in the order of the settings
     * @param kinds names of the kinds of endpoints in the order of the settings
     * @param startTimes translates the endpoints' start times to this node's clock
     * @param retiredAddresses receives the key of each {@link EndpointAddress} that is no longer in use
     */
    EndpointDirectory(
            List<String> zones, List<String> kinds, StartTimeTranslator startTimes, Consumer<String> retiredAddresses) {
        this.zones = new NameTable(zones);
        this.kinds = new NameTable(kinds);
        this.startTimes = startTimes;
        this.retiredAddresses = retiredAddresses;
    }

    /** Returns the version of the known list; negative if none is known. */
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
     * Records the arrival of a list and returns whether it contains anything new. Called once for each list, before its
     * entries are parsed.
     *
     * @throws StaleEndpointListException if it is complete and older than the known list; if such lists keep arriving,
     *     they are accepted after {@link #MAX_LIST_DELAY_TICKS}
     */
    boolean acceptVersion(DiscoveredListHeader list, long nowTicks) throws StaleEndpointListException {
        if (!list.complete() && list.version() <= version) {
            return false;
        }
        checkNotStale(list, nowTicks);
        return true;
    }

    /** Applies a list from the watch whose version was accepted, and returns the event for it. */
    Event.EndpointListUpdate applyUpdate(DiscoveredEndpointList list, long nowTicks) {
        return applyUpdate(list, false, nowTicks);
    }

    private Event.EndpointListUpdate applyUpdate(DiscoveredEndpointList list, boolean cached, long nowTicks) {
        boolean justChanged = watchDelivered && !list.complete();
        List<Entry> listed = new ArrayList<>();
        for (DiscoveredEndpoint endpoint : list.endpoints()) {
            EndpointState state = departed.stateOf(endpoint, list.version());
            listed.add(toEntry(endpoint, state, nowTicks, justChanged));
        }
        watchDelivered |= !cached;
        listed.forEach(this::put);
        listed.forEach(entry -> recordState(entry, entry.endpoint.state(), list.version()));
        if (list.complete()) {
            removeUnlisted(listed, list.version());
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

    /** Rejects older lists, since a discovery instance that lags behind may list draining endpoints as active. */
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

    private void recordState(Entry entry, EndpointState state, long listVersion) {
        departed.record(entry.id(), entry.endpoint.build(), entry.startedAtUnixMillis, state, listVersion);
    }

    private Entry toEntry(DiscoveredEndpoint listed, EndpointState state, long nowTicks, boolean justChanged) {
        EndpointEntry endpoint = new EndpointEntry(
                listed.id(),
                listed.build(),
                zones.indexOf(listed.zone()),
                listed.cell(),
                kinds.indexOf(listed.kind()),
                listed.weight(),
                state,
                startedAtTicks(listed, nowTicks, justChanged));
        // an endpoint with a new start, build or address must not reuse connections of its previous incarnation
        String key = listed.id() + "@" + listed.address() + "/" + endpoint.build() + "/" + endpoint.startedAtTicks();
        EndpointAddress address = new EndpointAddress(key, listed.socketAddress());
        return new Entry(endpoint, address, listed.startedAtUnixMillis(), nowTicks);
    }

    /**
     * Translates each start only once, since a second result may differ slightly and would be treated as a new start.
     */
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

    private void removeUnlisted(List<Entry> listed, long listVersion) {
        Set<String> ids = new HashSet<>();
        listed.forEach(entry -> ids.add(entry.id()));
        entries.values().removeIf(entry -> {
            boolean unlisted = !ids.contains(entry.id());
            if (unlisted) {
                recordState(entry, EndpointState.REMOVED, listVersion);
                retiredAddresses.accept(entry.address.key());
            }
            return unlisted;
        });
    }

    /** Returns the address of an endpoint; for an unlisted one, an address without a socket address. */
    EndpointAddress addressOf(String endpointId) {
        Entry entry = entries.get(endpointId);
        return entry == null ? new EndpointAddress(endpointId, null) : entry.address;
    }

    /**
     * Returns the build of an endpoint that has been active since the given time with an unchanged address, build and
     * start.
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

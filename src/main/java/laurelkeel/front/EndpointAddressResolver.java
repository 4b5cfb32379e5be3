package laurelkeel.front;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import laurelkeel.config.IniSection;
import laurelkeel.front.upstream.EndpointAddress;
import org.jspecify.annotations.Nullable;

/**
 * Resolves the ids of endpoints, which are addresses, and caches the results, so that an endpoint keeps one address
 * while its connections are in use. Not thread-safe; used on the event loop's thread.
 */
final class EndpointAddressResolver {
    /** More than any endpoint list has; bounds the heap used if the list names new endpoints all the time. */
    private static final int MAX_ADDRESSES = 20_000;

    private final Map<String, EndpointAddress> addresses = new HashMap<>();

    /** Returns the address of an endpoint; it has no socket address if the id cannot be resolved. */
    EndpointAddress addressOf(String endpointId) {
        EndpointAddress known = addresses.get(endpointId);
        if (known != null) {
            return known;
        }
        if (addresses.size() > MAX_ADDRESSES) {
            addresses.clear();
        }
        EndpointAddress address = new EndpointAddress(endpointId, resolve(endpointId));
        addresses.put(endpointId, address);
        return address;
    }

    private static @Nullable InetSocketAddress resolve(String endpointId) {
        try {
            InetSocketAddress address = IniSection.parseAddress(endpointId);
            return address == null || address.isUnresolved() ? null : address;
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}

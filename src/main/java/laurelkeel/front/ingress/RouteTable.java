package laurelkeel.front.ingress;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Maps methods and paths to routes, by the longest prefix that ends at a path segment, and names to tenants. Immutable.
 */
public final class RouteTable {
    /** Result of {@link #route}: no route has the path. */
    static final int UNKNOWN_PATH = -1;
    /** Result of {@link #route}: only routes with other methods have the path. */
    static final int METHOD_NOT_ALLOWED = -2;
    /** Result of {@link #tenant}: no tenant has the name. */
    static final int UNKNOWN_TENANT = -1;

    /**
     * One route.
     *
     * @param prefix of the paths that belong to it
     * @param requiresIdempotencyKey whether its requests must carry an idempotency key
     */
    public record Entry(String name, String method, String prefix, boolean requiresIdempotencyKey) {
        private boolean hasPath(String path) {
            return path.startsWith(prefix)
                    && (path.length() == prefix.length()
                            || prefix.endsWith("/")
                            || path.charAt(prefix.length()) == '/');
        }
    }

    private final List<Entry> entries;
    private final Map<String, Integer> tenants = new HashMap<>();

    /**
     * Creates a table; routes and tenants are numbered by their order.
     *
     * @param tenants empty where requests name no tenant
     */
    public RouteTable(List<Entry> entries, List<String> tenants) {
        this.entries = List.copyOf(entries);
        for (String name : tenants) {
            this.tenants.put(name, this.tenants.size());
        }
    }

    /** Returns the routes by their number. */
    public List<Entry> entries() {
        return entries;
    }

    /** Returns the number of the route; -1 for an unknown path, -2 for a known path with another method. */
    public int route(String method, String path) {
        int best = UNKNOWN_PATH;
        boolean knownPath = false;
        for (int i = 0; i < entries.size(); i++) {
            Entry entry = entries.get(i);
            if (entry.hasPath(path)) {
                knownPath = true;
                boolean longer = best < 0
                        || entry.prefix.length() > entries.get(best).prefix.length();
                if (longer && entry.method.equals(method)) {
                    best = i;
                }
            }
        }
        return best < 0 && knownPath ? METHOD_NOT_ALLOWED : best;
    }

    /** Returns the methods that a path accepts, with commas between. */
    public String allowedMethods(String path) {
        List<String> methods = new ArrayList<>();
        for (Entry entry : entries) {
            if (entry.hasPath(path) && !methods.contains(entry.method)) {
                methods.add(entry.method);
            }
        }
        return String.join(", ", methods);
    }

    /**
     * Returns the number of a tenant: -1 for an unknown one, and always 0 where the table has none.
     *
     * @param name null where the request names none
     */
    public int tenant(@Nullable String name) {
        if (tenants.isEmpty()) {
            return 0;
        }
        return name == null ? UNKNOWN_TENANT : tenants.getOrDefault(name, UNKNOWN_TENANT);
    }
}

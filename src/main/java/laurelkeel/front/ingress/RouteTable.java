package laurelkeel.front.ingress;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Maps methods and paths to routes by the longest matching path prefix, and tenant names to indexes. A prefix matches only whole
 * path segments. Immutable.
 */
public final class RouteTable {
    /** Result of {@link #route}: no route matches the path. */
    static final int UNKNOWN_PATH = -1;
    /** Result of {@link #route}: routes match the path, but none has the method. */
    static final int METHOD_NOT_ALLOWED = -2;
    /** Result of {@link #tenant}: no tenant has the name. */
    static final int UNKNOWN_TENANT = -1;

    /**
     * One route.
     *
     * @param prefix the prefix that all its paths have in common
     * @param requiresIdempotencyKey whether its requests must have an idempotency key
     */
    public record Entry(String name, String method, String prefix, boolean requiresIdempotencyKey) {
        private boolean matches(String path) {
            return path.startsWith(prefix)
                    && (path.length() == prefix.length()
                            || prefix.endsWith("/")
                            || path.charAt(prefix.length()) == '/');
        }
    }

    private final List<Entry> entries;
    private final Map<String, Integer> tenants = new HashMap<>();

    /**
     * Creates a table. The index of a route or tenant is its position in the list.
     *
     * @param tenants names of the tenants; empty if requests do not name a tenant
     */
    public RouteTable(List<Entry> entries, List<String> tenants) {
        this.entries = List.copyOf(entries);
        for (String name : tenants) {
            this.tenants.put(name, this.tenants.size());
        }
    }

    /** Returns the routes by index. */
    public List<Entry> entries() {
        return entries;
    }

    /** Returns the index of a route, {@link #UNKNOWN_PATH} or {@link #METHOD_NOT_ALLOWED}. */
    public int route(String method, String path) {
        int best = UNKNOWN_PATH;
        boolean knownPath = false;
        for (int i = 0; i < entries.size(); i++) {
            Entry entry = entries.get(i);
            if (entry.matches(path)) {
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

    /** Returns the methods that are allowed for a path, separated by commas. */
    public String allowedMethods(String path) {
        List<String> methods = new ArrayList<>();
        for (Entry entry : entries) {
            if (entry.matches(path) && !methods.contains(entry.method)) {
                methods.add(entry.method);
            }
        }
        return String.join(", ", methods);
    }

    /**
     * Returns the index of a tenant or {@link #UNKNOWN_TENANT}; always 0 if the table has no tenants.
     *
     * @param name null if the request names no tenant
     */
    public int tenant(@Nullable String name) {
        if (tenants.isEmpty()) {
            return 0;
        }
        return name == null ? UNKNOWN_TENANT : tenants.getOrDefault(name, UNKNOWN_TENANT);
    }
}

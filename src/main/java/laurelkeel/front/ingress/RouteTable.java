package laurelkeel.front.ingress;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Which route a method and a path name: the longest prefix that ends at a path segment. */
public final class RouteTable {

    /** marked: reqs of the route must carry a mark against repeats. */
    public record Entry(String name, String method, String prefix, boolean requiresIdempotencyKey) {}

    private final List<Entry> entries;
    private final Map<String, Integer> customers = new HashMap<>();

    public RouteTable(List<Entry> entries, List<String> customers) {
        this.entries = List.copyOf(entries);
        for (String c : customers) {
            this.customers.put(c, this.customers.size());
        }
    }

    public List<Entry> entries() {
        return entries;
    }

    private static boolean under(String path, String prefix) {
        return path.startsWith(prefix)
                && (path.length() == prefix.length() || prefix.endsWith("/") || path.charAt(prefix.length()) == '/');
    }

    /** The number of the route, -1 for an unknown path, -2 for a known path under another method. */
    public int route(String method, String path) {
        int best = -1;
        boolean known = false;
        for (int i = 0; i < entries.size(); i++) {
            Entry e = entries.get(i);
            if (under(path, e.prefix)) {
                known = true;
                boolean longer =
                        best < 0 || e.prefix.length() > entries.get(best).prefix.length();
                best = e.method.equals(method) && longer ? i : best;
            }
        }
        return best >= 0 ? best : known ? -2 : -1;
    }

    /** The methods that a path takes, for the Allow header. */
    public String allowedMethods(String path) {
        List<String> out = new ArrayList<>();
        for (Entry e : entries) {
            if (under(path, e.prefix) && !out.contains(e.method)) {
                out.add(e.method);
            }
        }
        return String.join(", ", out);
    }

    /** The number of a customer; -1 where it is not known; 0 for none where the table names none. */
    public int tenant(String name) {
        return customers.isEmpty() ? 0 : name == null ? -1 : customers.getOrDefault(name, -1);
    }
}

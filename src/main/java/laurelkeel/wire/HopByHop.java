package laurelkeel.wire;

import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.TreeSet;

/** Headers that end at each hop (RFC 9110, 7.6.1); a connection's own matters must not cross to another. */
public final class HopByHop {
    private static final TreeSet<String> NAMES = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);

    static {
        NAMES.addAll(List.of(
                "Connection",
                "Keep-Alive",
                "Proxy-Connection",
                "Transfer-Encoding",
                "Content-Length",
                "TE",
                "Trailer",
                "Upgrade",
                "Host",
                "Expect"));
    }

    private HopByHop() {}

    /** Adds what may cross from one connection to another, but for the names left out. */
    static void appendForwardable(Headers from, MessageBuilder to, Collection<String> leftOut) {
        boolean named = from.get("Connection") != null;
        for (int i = 0; i < from.size(); i++) {
            String name = from.name(i);
            boolean ends = NAMES.contains(name)
                    || leftOut.contains(name)
                    || (named && from.has("Connection", name.toLowerCase(Locale.ROOT)));
            if (!ends) {
                to.appendHeader(name, from.value(i));
            }
        }
    }

    /** A set of names that compare without case. */
    public static Collection<String> names(String... names) {
        TreeSet<String> set = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        set.addAll(List.of(names));
        return set;
    }
}

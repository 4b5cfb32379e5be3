package laurelkeel.wire;

import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.TreeSet;

/** Headers that apply to a single connection and are not forwarded (RFC 9110, section 7.6.1). */
public final class HopByHop {
    private static final Collection<String> NAMES = names(
            "Connection",
            "Keep-Alive",
            "Proxy-Connection",
            "Transfer-Encoding",
            "Content-Length",
            "TE",
            "Trailer",
            "Upgrade",
            "Host",
            "Expect");

    private HopByHop() {}

    /** Appends the headers that may be forwarded, except for those with names in {@code excluded}. */
    static void appendForwardable(Headers headers, MessageBuilder message, Collection<String> excluded) {
        boolean connectionListsNames = headers.get("Connection") != null;
        for (int i = 0; i < headers.size(); i++) {
            String name = headers.name(i);
            boolean omitted = NAMES.contains(name)
                    || excluded.contains(name)
                    || (connectionListsNames && headers.has("Connection", name.toLowerCase(Locale.ROOT)));
            if (!omitted) {
                message.appendHeader(name, headers.value(i));
            }
        }
    }

    /** Returns a set of names that ignores case. */
    public static Collection<String> names(String... names) {
        TreeSet<String> set = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        set.addAll(List.of(names));
        return set;
    }
}

package laurelkeel.wire;

import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.TreeSet;

/** Headers that concern one connection and are not forwarded to another (RFC 9110, section 7.6.1). */
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

    /** Appends the headers that may be forwarded, without the names in {@code excluded}. */
    static void appendForwardable(Headers headers, MessageBuilder message, Collection<String> excluded) {
        boolean namesOthers = headers.get("Connection") != null;
        for (int i = 0; i < headers.size(); i++) {
            String name = headers.name(i);
            boolean endsHere = NAMES.contains(name)
                    || excluded.contains(name)
                    || (namesOthers && headers.has("Connection", name.toLowerCase(Locale.ROOT)));
            if (!endsHere) {
                message.appendHeader(name, headers.value(i));
            }
        }
    }

    /** Returns a set of names that compare without case. */
    public static Collection<String> names(String... names) {
        TreeSet<String> set = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        set.addAll(List.of(names));
        return set;
    }
}

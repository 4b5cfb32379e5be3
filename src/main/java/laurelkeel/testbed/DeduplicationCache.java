package laurelkeel.testbed;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/** What one group of machines remembers of marks: a mark met again within its route's window is a repeat. */
final class DeduplicationCache {
    private final Map<String, Long> until = new HashMap<>();
    private long sweepAt;

    /** True where the mark was met before; else it is remembered from now. */
    boolean repeat(String mark, long now, long window) {
        if (now >= sweepAt) {
            sweepAt = now + 10_000;
            for (Iterator<Long> i = until.values().iterator(); i.hasNext(); ) {
                if (i.next() < now) {
                    i.remove();
                }
            }
        }
        Long known = until.get(mark);
        if (known != null && known >= now) {
            return true;
        }
        until.put(mark, now + window);
        return false;
    }
}

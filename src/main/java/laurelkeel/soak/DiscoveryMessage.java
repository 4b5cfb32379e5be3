package laurelkeel.soak;

import java.util.Collection;
import java.util.stream.Collectors;

/**
 * One message of discovery.
 *
 * @param full whether the entries are the whole list, not only those that changed
 */
record DiscoveryMessage(int version, boolean full, Collection<DiscoveryEntry> entries) {
    /** The message in discovery's form. */
    String json() {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":["
                + entries.stream().map(DiscoveryEntry::json).collect(Collectors.joining(",")) + "]}";
    }
}

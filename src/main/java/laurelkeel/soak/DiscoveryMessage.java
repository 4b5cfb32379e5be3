package laurelkeel.soak;

import java.util.Collection;
import java.util.stream.Collectors;

/**
 * One message of the discovery protocol.
 *
 * @param full whether the entries are the complete endpoint list; otherwise they are the changed entries only
 */
record DiscoveryMessage(int version, boolean full, Collection<DiscoveryEntry> entries) {
    /** Returns the message in the JSON format of the discovery protocol. */
    String json() {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":["
                + entries.stream().map(DiscoveryEntry::json).collect(Collectors.joining(",")) + "]}";
    }
}

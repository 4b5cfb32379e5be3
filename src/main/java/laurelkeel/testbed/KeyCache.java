package laurelkeel.testbed;

import java.util.HashMap;
import java.util.Map;

/**
 * The partition keys that a simulated server has seen recently; requests with these keys need less work. Not
 * thread-safe.
 */
final class KeyCache {
    private static final int MAX_KEYS = 20_000;

    private final Map<String, Long> lastSeenTicks = new HashMap<>();
    private final long lifetimeTicks;

    KeyCache(long lifetimeTicks) {
        this.lifetimeTicks = lifetimeTicks;
    }

    /** Records a key as seen now and returns whether it was already seen within the lifetime. */
    boolean touch(String partitionKey, long nowTicks) {
        Long lastTicks = lastSeenTicks.put(partitionKey, nowTicks);
        if (lastSeenTicks.size() > MAX_KEYS) {
            lastSeenTicks.clear();
        }
        return lastTicks != null && lastTicks > nowTicks - lifetimeTicks;
    }
}

package laurelkeel.testbed;

import java.util.HashMap;
import java.util.Map;
import laurelkeel.records.RecordClock;

/**
 * The idempotency keys that a group of servers has stored. A request whose key arrives again within its route's window
 * is a repeat. Not thread-safe.
 */
final class DeduplicationCache {
    private static final long SWEEP_INTERVAL_TICKS = RecordClock.TICKS_PER_SECOND;

    private final Map<String, Long> expiryTicksByKey = new HashMap<>();
    private long nextSweepTicks;

    /** Returns whether a key is a repeat; if it is not, stores it for a window that begins now. */
    boolean isRepeat(String idempotencyKey, long nowTicks, long windowTicks) {
        if (nowTicks >= nextSweepTicks) {
            nextSweepTicks = nowTicks + SWEEP_INTERVAL_TICKS;
            expiryTicksByKey.values().removeIf(expiryTicks -> expiryTicks < nowTicks);
        }
        Long expiryTicks = expiryTicksByKey.get(idempotencyKey);
        if (expiryTicks != null && expiryTicks >= nowTicks) {
            return true;
        }
        expiryTicksByKey.put(idempotencyKey, nowTicks + windowTicks);
        return false;
    }
}

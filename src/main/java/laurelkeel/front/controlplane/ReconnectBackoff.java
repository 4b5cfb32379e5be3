package laurelkeel.front.controlplane;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/**
 * Exponential backoff with jitter for reconnecting to a source that failed. The upper bound of the delay doubles with each
 * attempt until it reaches a maximum, and the delay is drawn at random between half of the bound and the bound: all nodes
 * lose a source at the same moment and must not all reconnect at the same moment. Thread-safe.
 */
public final class ReconnectBackoff {
    private static final long DEFAULT_MIN_MILLIS = 500;
    /** Longer than a service takes to restart, and short compared with a stage of a rollout. */
    private static final long DEFAULT_MAX_MILLIS = 8_000;

    /** Spreads the 32 bits of a checksum over the bits of a fraction. */
    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private final long seed;
    private final long minMillis;
    private final long maxMillis;
    private long drawCount;
    private long currentBoundMillis;

    /** Creates a backoff with the default delays; each node must use a different seed. */
    ReconnectBackoff(long seed) {
        this(seed, DEFAULT_MIN_MILLIS, DEFAULT_MAX_MILLIS);
    }

    /**
     * Creates a backoff.
     *
     * @param seed determines the random part; each node must use a different one
     * @param minMillis the upper bound of the first delay
     * @param maxMillis the upper bound of all delays
     */
    public ReconnectBackoff(long seed, long minMillis, long maxMillis) {
        this.seed = seed;
        this.minMillis = minMillis;
        this.maxMillis = maxMillis;
        currentBoundMillis = minMillis;
    }

    /** Resets the delay to its minimum; called when the source works. */
    public synchronized void reset() {
        currentBoundMillis = minMillis;
    }

    /** Returns the delay before the next attempt, in milliseconds, and doubles the bound for the one after it. */
    public synchronized long nextDelayMillis() {
        long delayMillis = (long) (currentBoundMillis * (0.5 + 0.5 * nextFraction()));
        currentBoundMillis = Math.min(maxMillis, currentBoundMillis * 2);
        return delayMillis;
    }

    /** Returns a pseudorandom number from 0 to 1 that depends only on the seed and the number of draws so far. */
    private double nextFraction() {
        CRC32 checksum = new CRC32();
        checksum.update(ByteBuffer.allocate(2 * Long.BYTES)
                .putLong(seed)
                .putLong(drawCount++)
                .array());
        return ((checksum.getValue() * HASH_MULTIPLIER) >>> 11) * 0x1.0p-53;
    }
}

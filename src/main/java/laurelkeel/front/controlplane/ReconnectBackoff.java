package laurelkeel.front.controlplane;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/**
 * The delays before a source that failed is tried again: each twice as long as the one before, up to a bound, of which a
 * random part between half and all is waited. All nodes lose a source at one moment, and must not all come back at one.
 * Thread-safe.
 */
public final class ReconnectBackoff {
    private static final long DEFAULT_MIN_MILLIS = 500;
    /** Longer than it takes to start a service again, and short beside a stage of a rollout. */
    private static final long DEFAULT_MAX_MILLIS = 8_000;

    /** Spreads the bits of a checksum over those of a fraction. */
    private static final long MIXER = 0x9E3779B97F4A7C15L;

    private final long seed;
    private final long minMillis;
    private final long maxMillis;
    private long draws;
    private long nextMaxMillis;

    /** Creates the delays of a source over HTTP; nodes are to have different seeds. */
    ReconnectBackoff(long seed) {
        this(seed, DEFAULT_MIN_MILLIS, DEFAULT_MAX_MILLIS);
    }

    /**
     * Creates delays.
     *
     * @param seed of the random draws; nodes are to have different ones
     * @param minMillis bound of the first delay
     * @param maxMillis bound of all delays
     */
    public ReconnectBackoff(long seed, long minMillis, long maxMillis) {
        this.seed = seed;
        this.minMillis = minMillis;
        this.maxMillis = maxMillis;
        nextMaxMillis = minMillis;
    }

    /** The source works: the next delay is a short one again. */
    public synchronized void reset() {
        nextMaxMillis = minMillis;
    }

    /** Draws the delay before the next attempt, in milliseconds. */
    public synchronized long nextDelayMillis() {
        long delayMillis = (long) (nextMaxMillis * (0.5 + 0.5 * nextFraction()));
        nextMaxMillis = Math.min(maxMillis, nextMaxMillis * 2);
        return delayMillis;
    }

    /** Draws a number from 0 to 1 that seed and count alone determine. */
    private double nextFraction() {
        CRC32 checksum = new CRC32();
        checksum.update(ByteBuffer.allocate(2 * Long.BYTES)
                .putLong(seed)
                .putLong(draws++)
                .array());
        return ((checksum.getValue() * MIXER) >>> 11) * 0x1.0p-53;
    }
}

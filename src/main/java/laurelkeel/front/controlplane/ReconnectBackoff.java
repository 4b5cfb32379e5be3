package laurelkeel.front.controlplane;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/**
 * How long to wait before a source that failed is asked again: twice as long each time, to a bound, and by chance
 * between half and all of it. All fronts lose a source at one moment, and must not all come back at one.
 */
public final class ReconnectBackoff {
    private static final long LEAST_MS = 500;
    /** Longer than it takes to start a service again, and short beside a stage. */
    private static final long MOST_MS = 8_000;

    private final long seed;
    private final long least, most;
    private long draws, next;

    ReconnectBackoff(long seed) {
        this(seed, LEAST_MS, MOST_MS);
    }

    /** From least to most, in milliseconds. */
    public ReconnectBackoff(long seed, long least, long most) {
        this.seed = seed;
        this.least = least;
        this.most = most;
        next = least;
    }

    /** It said something. */
    public synchronized void reset() {
        next = least;
    }

    public synchronized long nextDelayMillis() {
        CRC32 crc = new CRC32();
        crc.update(ByteBuffer.allocate(16).putLong(seed).putLong(draws++).array());
        double chance = ((crc.getValue() * 0x9E3779B97F4A7C15L) >>> 11) * 0x1.0p-53;
        long ms = (long) (next * (0.5 + 0.5 * chance));
        next = Math.min(most, next * 2);
        return ms;
    }
}

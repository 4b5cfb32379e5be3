package laurelkeel.decision;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/** Hashes texts and 64-bit values evenly to fractions from 0 (inclusive) to 1 (exclusive). */
final class UnitHash {
    /** 2 to the power of 64 over the golden ratio, as in Fibonacci hashing. */
    static final long FIBONACCI_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private static final long SECOND_MULTIPLIER = 0xD6E8FEB86659FD93L;
    private static final int DOUBLE_PRECISION_BITS = 53;

    private UnitHash() {}

    /** Returns the CRC32 checksum of a text in UTF-8. */
    static long checksum(String text) {
        CRC32 crc = new CRC32();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return crc.getValue();
    }

    /** Removes the linear relation that CRC32 leaves between the checksums of similar texts. */
    static long mix(long bits) {
        long mixed = bits * FIBONACCI_MULTIPLIER;
        mixed = (mixed ^ (mixed >>> 32)) * SECOND_MULTIPLIER;
        return mixed ^ (mixed >>> 29);
    }

    /** Turns the highest bits of a value into a fraction from 0 to 1. */
    static double toFraction(long bits) {
        return (bits >>> (Long.SIZE - DOUBLE_PRECISION_BITS)) * 0x1.0p-53;
    }
}

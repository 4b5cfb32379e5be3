package laurelkeel.decision;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/** Uniform hashes of strings and 64-bit values, as fractions from 0 (inclusive) to 1 (exclusive). */
final class UnitHash {
    /** 2 to the power of 64 divided by the golden ratio, as in Fibonacci hashing. */
    static final long FIBONACCI_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private static final long SECOND_MULTIPLIER = 0xD6E8FEB86659FD93L;
    private static final int DOUBLE_PRECISION_BITS = 53;

    private UnitHash() {}

    /** Returns the CRC32 checksum of a string in UTF-8. */
    static long checksum(String text) {
        CRC32 crc = new CRC32();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return crc.getValue();
    }

    /** Returns a mix of the bits that removes the linear relation between CRC32 checksums of similar strings. */
    static long mix(long bits) {
        long mixed = bits * FIBONACCI_MULTIPLIER;
        mixed = (mixed ^ (mixed >>> 32)) * SECOND_MULTIPLIER;
        return mixed ^ (mixed >>> 29);
    }

    /** Converts the highest bits of a value to a fraction from 0 (inclusive) to 1 (exclusive). */
    static double toFraction(long bits) {
        return (bits >>> (Long.SIZE - DOUBLE_PRECISION_BITS)) * 0x1.0p-53;
    }
}

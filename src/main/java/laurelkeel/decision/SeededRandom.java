package laurelkeel.decision;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/** A sequence of random numbers that its seed determines, the same on every platform and in every release. */
final class SeededRandom {
    private final byte[] seedDigits;
    private long drawCount;

    SeededRandom(long seed) {
        seedDigits = digits(seed);
    }

    /** Returns the next number, evenly distributed from 0 (inclusive) to 1 (exclusive). */
    double nextDouble() {
        CRC32 crc = new CRC32();
        crc.update(seedDigits);
        crc.update(digits(drawCount++));
        return UnitHash.toFraction(crc.getValue() * UnitHash.FIBONACCI_MULTIPLIER);
    }

    private static byte[] digits(long value) {
        return Long.toString(value).getBytes(StandardCharsets.US_ASCII);
    }
}

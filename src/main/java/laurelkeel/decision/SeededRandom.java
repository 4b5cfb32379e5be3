package laurelkeel.decision;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/** A pseudorandom sequence that depends only on its seed: the same on every platform and in every release. */
final class SeededRandom {
    private final byte[] seedDigits;
    private long generatedCount;

    SeededRandom(long seed) {
        seedDigits = digits(seed);
    }

    /** Returns the next number, uniformly distributed from 0 (inclusive) to 1 (exclusive). */
    double nextDouble() {
        CRC32 crc = new CRC32();
        crc.update(seedDigits);
        crc.update(digits(generatedCount++));
        return UnitHash.toFraction(crc.getValue() * UnitHash.FIBONACCI_MULTIPLIER);
    }

    private static byte[] digits(long value) {
        return Long.toString(value).getBytes(StandardCharsets.US_ASCII);
    }
}

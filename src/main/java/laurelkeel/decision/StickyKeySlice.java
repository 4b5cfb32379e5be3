package laurelkeel.decision;

/**
 * Maps each partition key to a fraction of the key space of one build.
 *
 * <p>Every front node computes the same fraction, so that all nodes send the same slice of the keys to a canary build. The
 * slices of two builds are independent; otherwise the same keys would be the first to reach every canary.
 */
final class StickyKeySlice {
    private StickyKeySlice() {}

    /** Returns the fraction of a key for a build, from 0 (inclusive) to 1 (exclusive). */
    static double fractionOf(String partitionKey, int build) {
        long checksum = UnitHash.checksum(build + "/" + partitionKey);
        long mixed = UnitHash.mix(checksum ^ ((long) build << 32));
        return UnitHash.toFraction(mixed * UnitHash.FIBONACCI_MULTIPLIER);
    }
}

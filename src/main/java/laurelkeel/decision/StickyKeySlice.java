package laurelkeel.decision;

/**
 * Places each partition key at a fraction of the key space of one build.
 *
 * <p>Every front node places a key alike, so that all nodes send the same slice of the keys to a canary build. The slices
 * of two builds are independent: otherwise the same keys would meet every canary first.
 */
final class StickyKeySlice {
    private StickyKeySlice() {}

    /** Returns the fraction, from 0 (inclusive) to 1 (exclusive), at which a key stands for a build. */
    static double fractionOf(String partitionKey, int build) {
        long checksum = UnitHash.checksum(build + "/" + partitionKey);
        long mixed = UnitHash.mix(checksum ^ ((long) build << 32));
        return UnitHash.toFraction(mixed * UnitHash.FIBONACCI_MULTIPLIER);
    }
}

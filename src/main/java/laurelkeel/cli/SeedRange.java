package laurelkeel.cli;

import java.util.stream.LongStream;

/**
 * Seeds from a first to a last one, both included.
 *
 * @param first may be above the last: the range is empty then
 */
record SeedRange(long first, long last) {
    /**
     * Parses a range, as {@code 1-50}, or a single seed, as {@code 17}.
     *
     * @throws NumberFormatException where the text is neither
     */
    static SeedRange parse(String text) {
        int separator = text.indexOf('-');
        if (separator < 0) {
            long seed = Long.parseLong(text);
            return new SeedRange(seed, seed);
        }
        return new SeedRange(
                Long.parseLong(text.substring(0, separator)), Long.parseLong(text.substring(separator + 1)));
    }

    boolean isEmpty() {
        return last < first;
    }

    LongStream seeds() {
        return LongStream.rangeClosed(first, last);
    }
}

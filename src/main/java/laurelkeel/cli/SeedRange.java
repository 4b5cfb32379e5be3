package laurelkeel.cli;

import java.util.stream.LongStream;
import laurelkeel.text.DecimalNumbers;

/**
 * A range of seeds, both ends included.
 *
 * @param first the first seed; the range is empty if it is greater than the last
 */
record SeedRange(long first, long last) {
    /**
     * Parses a range such as {@code 1-50} or a single seed such as {@code 17}.
     *
     * @throws NumberFormatException if the text is neither
     */
    static SeedRange parse(String text) {
        int separator = text.indexOf('-');
        if (separator < 0) {
            long seed = DecimalNumbers.parseLong(text);
            return new SeedRange(seed, seed);
        }
        return new SeedRange(
                DecimalNumbers.parseLong(text.substring(0, separator)),
                DecimalNumbers.parseLong(text.substring(separator + 1)));
    }

    boolean isEmpty() {
        return last < first;
    }

    LongStream seeds() {
        return LongStream.rangeClosed(first, last);
    }
}

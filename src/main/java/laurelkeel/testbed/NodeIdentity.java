package laurelkeel.testbed;

import org.jspecify.annotations.Nullable;

/**
 * Who sent an attempt, as its header states it.
 *
 * @param nodeIndex {@link #UNKNOWN_INDEX} where the header states none
 */
record NodeIdentity(int nodeIndex, String incarnation) {
    /** No index. */
    static final int UNKNOWN_INDEX = -1;

    /** Parses a header's value, index and incarnation joined by a slash. */
    static NodeIdentity parse(@Nullable String header) {
        String text = String.valueOf(header);
        int slash = text.indexOf('/');
        if (slash < 0) {
            return new NodeIdentity(UNKNOWN_INDEX, text);
        }
        return new NodeIdentity(parseNumber(text.substring(0, slash)), text.substring(slash + 1));
    }

    /** A whole number; {@link #UNKNOWN_INDEX} for any other text. */
    static int parseNumber(@Nullable String text) {
        if (text == null) {
            return UNKNOWN_INDEX;
        }
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            return UNKNOWN_INDEX;
        }
    }
}

package laurelkeel.testbed;

import org.jspecify.annotations.Nullable;

/**
 * The node that sent an attempt, according to the attempt's header.
 *
 * @param nodeIndex index of the node, or {@link #UNKNOWN_INDEX} if the header has none
 */
record NodeIdentity(int nodeIndex, String incarnation) {
    /** Represents a missing or invalid index. */
    static final int UNKNOWN_INDEX = -1;

    /** Parses a header value of the form {@code index/incarnation}; a value without a slash is an incarnation only. */
    static NodeIdentity parse(@Nullable String header) {
        String text = String.valueOf(header);
        int slash = text.indexOf('/');
        if (slash < 0) {
            return new NodeIdentity(UNKNOWN_INDEX, text);
        }
        return new NodeIdentity(parseNumber(text.substring(0, slash)), text.substring(slash + 1));
    }

    /** Parses an integer; returns {@link #UNKNOWN_INDEX} for any other text. */
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

package laurelkeel.config;

import org.jspecify.annotations.Nullable;

/** Suggests a known name for an unknown one that is probably misspelled. */
final class SpellingSuggestion {
    /** The number of edits tolerated in any name; in a longer name a third of its length is tolerated. */
    private static final int MIN_TOLERATED_EDITS = 2;

    private SpellingSuggestion() {}

    /** Returns the end of an error message about an unknown name: the most similar known name, or all known names. */
    static String suggest(String unknown, Iterable<String> known) {
        String nearest = nearest(unknown, known);
        return nearest == null ? "; known names: " + String.join(", ", known) : "; did you mean '" + nearest + "'?";
    }

    private static @Nullable String nearest(String unknown, Iterable<String> known) {
        String nearest = null;
        int minEdits = Math.max(MIN_TOLERATED_EDITS, unknown.length() / 3) + 1;
        for (String candidate : known) {
            int edits = editDistance(unknown, candidate);
            if (edits < minEdits) {
                minEdits = edits;
                nearest = candidate;
            }
        }
        return nearest;
    }

    /** Returns the Levenshtein distance between two names. Only one row of the matrix is stored at a time. */
    static int editDistance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int replacement = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(replacement, Math.min(row[j], row[j - 1]) + 1);
            }
        }
        return row[b.length()];
    }
}

package laurelkeel.config;

import org.jspecify.annotations.Nullable;

/** Suggests which of the known names was meant by an unknown one. */
final class SpellingSuggestion {
    /** So many changed letters may be a slip in any name; in a long one a third of its letters may. */
    private static final int MIN_TOLERATED_EDITS = 2;

    private SpellingSuggestion() {}

    /** The end of an error message about an unknown name: the likely one, or all that are known. */
    static String suggest(String unknown, Iterable<String> known) {
        String nearest = nearest(unknown, known);
        return nearest == null ? "; known are " + String.join(", ", known) : "; did you mean '" + nearest + "'?";
    }

    private static @Nullable String nearest(String unknown, Iterable<String> known) {
        String nearest = null;
        int leastEdits = Math.max(MIN_TOLERATED_EDITS, unknown.length() / 3) + 1;
        for (String candidate : known) {
            int edits = editDistance(unknown, candidate);
            if (edits < leastEdits) {
                leastEdits = edits;
                nearest = candidate;
            }
        }
        return nearest;
    }

    /** The Levenshtein distance of two names, computed row by row. */
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

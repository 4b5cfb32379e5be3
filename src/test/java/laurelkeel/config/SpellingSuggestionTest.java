package laurelkeel.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class SpellingSuggestionTest {
    @Test
    void theMostSimilarNameIsSuggested() {
        assertEquals(
                "; did you mean 'timeout'?",
                SpellingSuggestion.suggest("timeuot", List.of("objective", "timeout", "time")));
    }

    @Test
    void allKnownNamesAreListedIfNoneIsSimilar() {
        assertEquals("; known names: path, effect", SpellingSuggestion.suggest("zzzzz", List.of("path", "effect")));
    }

    @Test
    void editDistanceCountsInsertedRemovedAndReplacedLetters() {
        assertEquals(0, SpellingSuggestion.editDistance("path", "path"));
        assertEquals(1, SpellingSuggestion.editDistance("path", "paths"));
        assertEquals(1, SpellingSuggestion.editDistance("path", "pat"));
        assertEquals(2, SpellingSuggestion.editDistance("path", "pahs"));
        assertEquals(4, SpellingSuggestion.editDistance("", "path"));
    }
}

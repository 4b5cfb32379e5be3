package laurelkeel.cli;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SeedRangeTest {
    @Test
    void rangeIncludesBothEnds() {
        assertArrayEquals(new long[] {3, 4, 5}, SeedRange.parse("3-5").seeds().toArray());
    }

    @Test
    void singleNumberIsARangeOfOneSeed() {
        assertEquals(new SeedRange(17, 17), SeedRange.parse("17"));
    }

    @Test
    void descendingRangeIsEmpty() {
        assertTrue(SeedRange.parse("5-3").isEmpty());
    }

    @Test
    void rejectsTextThatIsNotARange() {
        assertThrows(NumberFormatException.class, () -> SeedRange.parse("1-"));
        assertThrows(NumberFormatException.class, () -> SeedRange.parse("-5"));
        assertThrows(NumberFormatException.class, () -> SeedRange.parse("1-2-3"));
    }
}

package laurelkeel.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

class QuantitiesTest {
    @Test
    void durationsAreConvertedToTicks() {
        assertEquals(10, Quantities.parseTicks("1 ms"));
        assertEquals(25_000, Quantities.parseTicks("2.5 s"));
        assertEquals(600_000, Quantities.parseTicks("1min"));
        assertEquals(36_000_000, Quantities.parseTicks("1 h"));
    }

    @Test
    void sizesAreConvertedToBytes() {
        assertEquals(7, Quantities.parseBytes("7 B"));
        assertEquals(8 << 10, Quantities.parseBytes("8 KiB"));
        assertEquals(3 << 19, Quantities.parseBytes("1.5 MiB"));
        assertEquals(1L << 30, Quantities.parseBytes("1GiB"));
    }

    @Test
    void fractionsAreRoundedDownButNotBelowTheWholeNumberTheyEqual() {
        assertEquals(2, Quantities.parseTicks("0.29 ms"));
        assertEquals(3, Quantities.parseTicks("0.3 ms"));
        assertEquals(1_100, Quantities.parseTicks("0.11 s"));
    }

    @Test
    void textWithoutAValidNumberAndUnitIsRejected() {
        for (String text : List.of("", "5", "ms", "-1 ms", "5 sec", "1.2.3 s", "5 KiB")) {
            assertThrows(NumberFormatException.class, () -> Quantities.parseTicks(text), text);
        }
        assertThrows(NumberFormatException.class, () -> Quantities.parseBytes("5 ms"));
    }
}

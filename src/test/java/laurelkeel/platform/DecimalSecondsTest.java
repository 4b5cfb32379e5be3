package laurelkeel.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class DecimalSecondsTest {
    @Test
    void aDurationIsParsedToWholeTicksRoundedDown() {
        assertEquals(OptionalLong.of(4_800), DecimalSeconds.parseTicks("0.480"));
        assertEquals(OptionalLong.of(4_801), DecimalSeconds.parseTicks("0.48019"));
        assertEquals(OptionalLong.of(2_900), DecimalSeconds.parseTicks("0.29"));
        assertEquals(OptionalLong.of(0), DecimalSeconds.parseTicks("0.00001"));
        assertEquals(OptionalLong.of(Long.MAX_VALUE), DecimalSeconds.parseTicks("1e300"));
    }

    @Test
    void anythingButAPositiveDurationIsEmpty() {
        for (String text : List.of("", "soon", "NaN", "0", "-1", "1e999", "1.5d", "2f", "0x1p1", "+4")) {
            assertTrue(DecimalSeconds.parseTicks(text).isEmpty(), text);
        }
    }

    @Test
    void ticksAreFormattedWithFourDecimals() {
        assertEquals("0.0000", DecimalSeconds.formatTicks(0));
        assertEquals("0.0042", DecimalSeconds.formatTicks(42));
        assertEquals("12.3456", DecimalSeconds.formatTicks(123_456));
    }

    @Test
    void millisecondsAreRoundedUp() {
        assertEquals("0.500", DecimalSeconds.formatTicksAsMillis(5_000));
        assertEquals("0.501", DecimalSeconds.formatTicksAsMillis(5_001));
        assertEquals("3.000", DecimalSeconds.formatTicksAsMillis(29_991));
    }
}

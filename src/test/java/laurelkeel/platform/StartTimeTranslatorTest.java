package laurelkeel.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import laurelkeel.api.Ticks;
import org.junit.jupiter.api.Test;

/** Translation of start times to the node's clock, in ticks, if the host's wall clock is correct, ahead or behind. */
class StartTimeTranslatorTest {
    private static final long NOW = 50_000_000;
    private static final long UNIX_MS = 1_700_000_000_000L;
    private static final long SECOND = Ticks.PER_SECOND;
    private static final long HOUR = 3600 * SECOND;
    private static final long CORRECT_EPOCH_TICKS = NOW - UNIX_MS * 10;

    /** @param aheadTicks how far the host's wall clock was ahead when it was read; negative if it was behind */
    private static StartTimeTranslator translator(long aheadTicks) {
        return new StartTimeTranslator(CORRECT_EPOCH_TICKS - aheadTicks);
    }

    @Test
    void aCorrectClockTranslatesAStartExactly() {
        assertEquals(NOW - 3 * SECOND, translator(0).toTicks(UNIX_MS - 3_000, NOW, false));
        assertEquals(0, translator(0).toTicks(0, NOW, false));
        assertEquals(1, translator(0).toTicks(1, NOW, false));
    }

    @Test
    void noStartIsInTheFutureIfTheClockWasBehind() {
        for (long behindTicks : new long[] {5 * SECOND, HOUR}) {
            StartTimeTranslator translator = translator(-behindTicks);
            assertEquals(NOW, translator.toTicks(UNIX_MS, NOW, false));
            assertEquals(NOW - 2 * SECOND, translator.toTicks(UNIX_MS - 2_000, NOW, false));
        }
    }

    @Test
    void aRecentStartCorrectsAClockThatWasFarAhead() {
        for (long aheadTicks : new long[] {40 * SECOND, HOUR}) {
            StartTimeTranslator translator = translator(aheadTicks);
            assertEquals(NOW, translator.toTicks(UNIX_MS, NOW, true));
            assertEquals(NOW + SECOND, translator.toTicks(UNIX_MS + 1_000, NOW + 2 * SECOND, true));
            // only a start that has just happened corrects the clock, since a complete list also contains old starts
            assertEquals(NOW - HOUR, translator(0).toTicks(UNIX_MS - 3_600_000, NOW, false));
        }
    }

    /**
     * Endpoints take seconds to start before they are listed, and lists arrive late, so this is no sign of a wrong
     * clock.
     */
    @Test
    void aNewStartWithinTheListingDelayDoesNotCorrectTheClock() {
        assertEquals(NOW - 8 * SECOND, translator(0).toTicks(UNIX_MS - 8_000, NOW, true));
    }

    /** Later starts show that the first one was old; no start is treated as older than it is. */
    @Test
    void aWrongCorrectionByAnOldStartIsSoonReverted() {
        StartTimeTranslator translator = translator(0);
        assertEquals(NOW, translator.toTicks(UNIX_MS - 600_000, NOW, true));
        assertEquals(NOW + SECOND, translator.toTicks(UNIX_MS + 1_000, NOW + SECOND, true));
        assertEquals(NOW + SECOND, translator.toTicks(UNIX_MS + 1_000, NOW + 3 * SECOND, false));
    }

    @Test
    void anImpossibleTimeDoesNotCorrectTheClock() {
        StartTimeTranslator translator = translator(0);
        assertEquals(NOW, translator.toTicks(Long.MAX_VALUE, NOW, true));
        assertEquals(NOW, translator.toTicks(UNIX_MS * 2, NOW, false));
        assertEquals(NOW - SECOND, translator.toTicks(UNIX_MS - 1_000, NOW, false));
    }
}

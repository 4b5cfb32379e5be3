package laurelkeel.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Starts on the front's clock, where the host's wall clock is right, ahead and behind. Tenths of a millisecond. */
class StartTimeTranslatorTest {
    private static final long NOW = 50_000_000, UNIX_MS = 1_700_000_000_000L, SECOND = 10_000, HOUR = 3600 * SECOND;
    private static final long RIGHT = NOW - UNIX_MS * 10;

    /** @param ahead how far the host's clock was ahead when it was read */
    private static StartTimeTranslator clock(long ahead) {
        return new StartTimeTranslator(RIGHT - ahead);
    }

    @Test
    void aRightClockMapsAStartToItsMoment() {
        assertEquals(NOW - 3 * SECOND, clock(0).toTicks(UNIX_MS - 3_000, NOW, false));
        assertEquals(0, clock(0).toTicks(0, NOW, false));
        assertEquals(1, clock(0).toTicks(1, NOW, false));
    }

    @Test
    void noStartIsInTheFutureHoweverFarTheClockWasBehind() {
        for (long behind : new long[] {5 * SECOND, HOUR}) {
            StartTimeTranslator clock = clock(-behind);
            assertEquals(NOW, clock.toTicks(UNIX_MS, NOW, false));
            assertEquals(NOW - 2 * SECOND, clock.toTicks(UNIX_MS - 2_000, NOW, false));
        }
    }

    @Test
    void aStartThatIsToldAsItHappensCorrectsAClockThatWasFarAhead() {
        for (long ahead : new long[] {40 * SECOND, HOUR}) {
            StartTimeTranslator clock = clock(ahead);
            assertEquals(NOW, clock.toTicks(UNIX_MS, NOW, true));
            assertEquals(NOW + SECOND, clock.toTicks(UNIX_MS + 1_000, NOW + 2 * SECOND, true));
            // only what is fresh: a list tells old starts too
            assertEquals(NOW - HOUR, clock(0).toTicks(UNIX_MS - 3_600_000, NOW, false));
        }
    }

    /** Machines take seconds to come up before they are told, and lists come late: they are as old as they say. */
    @Test
    void aFreshStartIsAsOldAsTheClockSaysWhereTheNewsMayBeThatLate() {
        assertEquals(NOW - 8 * SECOND, clock(0).toTicks(UNIX_MS - 8_000, NOW, true));
    }

    /** What comes after it shows that it was old, and no start is taken for older than it is. */
    @Test
    void aMachineThatReturnsWithAnOldStartMisleadsNobodyForLong() {
        StartTimeTranslator clock = clock(0);
        assertEquals(NOW, clock.toTicks(UNIX_MS - 600_000, NOW, true));
        assertEquals(NOW + SECOND, clock.toTicks(UNIX_MS + 1_000, NOW + SECOND, true));
        assertEquals(NOW + SECOND, clock.toTicks(UNIX_MS + 1_000, NOW + 3 * SECOND, false));
    }

    @Test
    void aTimeThatNoClockTellsCorrectsNothing() {
        StartTimeTranslator clock = clock(0);
        assertEquals(NOW, clock.toTicks(Long.MAX_VALUE, NOW, true));
        assertEquals(NOW, clock.toTicks(UNIX_MS * 2, NOW, false));
        assertEquals(NOW - SECOND, clock.toTicks(UNIX_MS - 1_000, NOW, false));
    }
}

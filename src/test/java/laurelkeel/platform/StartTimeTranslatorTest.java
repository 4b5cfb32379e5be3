package laurelkeel.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import laurelkeel.api.Ticks;
import org.junit.jupiter.api.Test;

/** Starts on the node's clock, in ticks, where the host's wall clock is right, ahead and behind. */
class StartTimeTranslatorTest {
    private static final long NOW = 50_000_000;
    private static final long UNIX_MS = 1_700_000_000_000L;
    private static final long SECOND = Ticks.PER_SECOND;
    private static final long HOUR = 3600 * SECOND;
    private static final long RIGHT = NOW - UNIX_MS * 10;

    /** @param aheadTicks how far the host's clock was ahead when it was read */
    private static StartTimeTranslator clock(long aheadTicks) {
        return new StartTimeTranslator(RIGHT - aheadTicks);
    }

    @Test
    void aRightClockMapsAStartToItsMoment() {
        assertEquals(NOW - 3 * SECOND, clock(0).toTicks(UNIX_MS - 3_000, NOW, false));
        assertEquals(0, clock(0).toTicks(0, NOW, false));
        assertEquals(1, clock(0).toTicks(1, NOW, false));
    }

    @Test
    void noStartIsInTheFutureHoweverFarTheClockWasBehind() {
        for (long behindTicks : new long[] {5 * SECOND, HOUR}) {
            StartTimeTranslator clock = clock(-behindTicks);
            assertEquals(NOW, clock.toTicks(UNIX_MS, NOW, false));
            assertEquals(NOW - 2 * SECOND, clock.toTicks(UNIX_MS - 2_000, NOW, false));
        }
    }

    @Test
    void aStartThatIsListedAsItHappensCorrectsAClockThatWasFarAhead() {
        for (long aheadTicks : new long[] {40 * SECOND, HOUR}) {
            StartTimeTranslator clock = clock(aheadTicks);
            assertEquals(NOW, clock.toTicks(UNIX_MS, NOW, true));
            assertEquals(NOW + SECOND, clock.toTicks(UNIX_MS + 1_000, NOW + 2 * SECOND, true));
            // only a start that has just happened does: a complete list names old starts too
            assertEquals(NOW - HOUR, clock(0).toTicks(UNIX_MS - 3_600_000, NOW, false));
        }
    }

    /** Endpoints take seconds to come up before they are listed, and lists come late: they are as old as they say. */
    @Test
    void aNewStartIsAsOldAsTheClockSaysWhereTheListMayBeThatLate() {
        assertEquals(NOW - 8 * SECOND, clock(0).toTicks(UNIX_MS - 8_000, NOW, true));
    }

    /** What comes after it shows that it was old, and no start is taken for older than it is. */
    @Test
    void anEndpointThatReturnsWithAnOldStartMisleadsNobodyForLong() {
        StartTimeTranslator clock = clock(0);
        assertEquals(NOW, clock.toTicks(UNIX_MS - 600_000, NOW, true));
        assertEquals(NOW + SECOND, clock.toTicks(UNIX_MS + 1_000, NOW + SECOND, true));
        assertEquals(NOW + SECOND, clock.toTicks(UNIX_MS + 1_000, NOW + 3 * SECOND, false));
    }

    @Test
    void aTimeThatNoClockShowsCorrectsNothing() {
        StartTimeTranslator clock = clock(0);
        assertEquals(NOW, clock.toTicks(Long.MAX_VALUE, NOW, true));
        assertEquals(NOW, clock.toTicks(UNIX_MS * 2, NOW, false));
        assertEquals(NOW - SECOND, clock.toTicks(UNIX_MS - 1_000, NOW, false));
    }
}

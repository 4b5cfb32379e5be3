package laurelkeel.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ExposureWindowTest {
    private static final long SPAN_TICKS = 40_000;

    @Test
    void arrivalsOutsideTheWindowAreRemovedEvenIfTheCountIsNotRead() {
        ExposureWindow window = new ExposureWindow(1, SPAN_TICKS, false);
        for (int i = 0; i < 100_000; i++) {
            window.add(0, i * 100L);
        }
        assertTrue(window.size() <= SPAN_TICKS / 100 + 1, "size " + window.size());
    }

    @Test
    void anArrivalIsCountedUntilTheEndOfTheSpan() {
        ExposureWindow window = new ExposureWindow(1, SPAN_TICKS, false);
        window.add(0, 5);
        assertEquals(1, window.count(0, 5 + SPAN_TICKS));
        assertEquals(0, window.count(0, 6 + SPAN_TICKS));
    }

    @Test
    void routesAreCountedSeparatelyOnlyIfTheWindowIsPerRoute() {
        ExposureWindow perRoute = new ExposureWindow(2, SPAN_TICKS, true);
        ExposureWindow allRoutes = new ExposureWindow(2, SPAN_TICKS, false);
        for (ExposureWindow window : new ExposureWindow[] {perRoute, allRoutes}) {
            window.add(0, 0);
            window.add(1, 0);
            window.add(1, 0);
        }
        assertEquals(1, perRoute.count(0, 0));
        assertEquals(2, perRoute.count(1, 0));
        assertEquals(3, allRoutes.count(0, 0));
    }

    @Test
    void theRatioIsThatOfTheScopeInWhichItIsLowest() {
        ExposureWindow all = new ExposureWindow(2, SPAN_TICKS, true);
        ExposureWindow part = new ExposureWindow(2, SPAN_TICKS, true);
        assertEquals(3, ExposureWindow.ratio(all, part, 0, 3), "the part has no arrivals");
        for (int i = 0; i < 8; i++) {
            all.add(0, 0);
            all.add(1, 0);
        }
        part.add(0, 0);
        part.add(0, 0);
        assertEquals(4, ExposureWindow.ratio(all, part, 0, 10));
        for (int i = 0; i < 5; i++) {
            part.add(1, 0);
        }
        assertEquals(1.6, ExposureWindow.ratio(all, part, 0, 10));
    }
}

package laurelkeel.bench;

import java.util.Locale;

/** What is wrong with one release of a generated day. Days are drawn by the order of the constants. */
enum ReleaseFault {
    /** No release is bad. */
    NONE,
    /** Some of its answers are errors. */
    FAILS,
    /** Some of its answers on one route are errors. */
    FAILS_ONE_ROUTE,
    /** It is slow. */
    SLOW,
    /** It is slow while there is more load than usual. */
    SLOW_WHEN_BUSY,
    /** It begins to fail some seconds after its start. */
    LATE,
    /** Some of its answers are wrong. */
    WRONG,
    /** It slows down all builds. */
    HARMS_ALL,
    /** It fails while another release is on trial. */
    TOGETHER;

    /** The name in tables and charts. */
    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}

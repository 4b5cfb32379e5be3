package laurelkeel.bench;

import java.util.Locale;

/**
 * The fault of the bad release on a generated day. The order of the constants is part of the seed of a day; the names,
 * in lower case, appear in tables and charts.
 */
enum ReleaseFault {
    /** No release is bad. */
    NONE,
    /** It answers some requests with errors. */
    FAILS,
    /** It answers some requests for one route with errors. */
    FAILS_ONE_ROUTE,
    /** It is slow. */
    SLOW,
    /** It is slow while the load is above average. */
    SLOW_WHEN_BUSY,
    /** It starts to fail some seconds after its rollout started. */
    LATE,
    /** Some of its answers have wrong content, which clients may complain about. */
    WRONG,
    /** It slows down all builds. */
    HARMS_ALL,
    /** It answers some requests with errors while another release gets part of the traffic. */
    TOGETHER;

    /** Returns the name in tables and charts. */
    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}

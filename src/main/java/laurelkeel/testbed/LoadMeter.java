package laurelkeel.testbed;

import java.util.Locale;
import laurelkeel.records.RecordClock;

/** The load report of a simulated server, with values refreshed at an interval. Not thread-safe. */
final class LoadMeter {
    private static final double SMOOTHING = 0.1;

    private final long reportIntervalTicks;
    private double meanMillis;
    private double reportedInFlight;
    private double reportedMeanMillis;
    private long nextReportTicks;

    LoadMeter(long reportIntervalTicks) {
        this.reportIntervalTicks = reportIntervalTicks;
    }

    /** Adds the duration of one request's work to the moving average. */
    void addWork(long ticks) {
        meanMillis += (ticks / RecordClock.TICKS_PER_MILLISECOND - meanMillis) * SMOOTHING;
    }

    /** Returns the load report in the form of its header. */
    String report(int inFlight, long nowTicks) {
        if (nowTicks >= nextReportTicks) {
            nextReportTicks = nowTicks + reportIntervalTicks;
            reportedInFlight = inFlight;
            reportedMeanMillis = meanMillis;
        }
        return String.format(Locale.ROOT, "concurrent=%.0f,mean_ms=%.1f", reportedInFlight, reportedMeanMillis);
    }
}

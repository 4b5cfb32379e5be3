package laurelkeel.testbed;

import java.util.Locale;
import laurelkeel.records.RecordClock;

/** What a simulated server states of its load, renewed at an interval. Not thread-safe. */
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

    /** Adds the duration of one piece of work to the mean. */
    void addWork(long ticks) {
        meanMillis += (ticks / RecordClock.TICKS_PER_MILLISECOND - meanMillis) * SMOOTHING;
    }

    /** The load report as the header carries it. */
    String report(int inFlight, long nowTicks) {
        if (nowTicks >= nextReportTicks) {
            nextReportTicks = nowTicks + reportIntervalTicks;
            reportedInFlight = inFlight;
            reportedMeanMillis = meanMillis;
        }
        return String.format(Locale.ROOT, "concurrent=%.0f,mean_ms=%.1f", reportedInFlight, reportedMeanMillis);
    }
}

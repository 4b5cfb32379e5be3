package laurelkeel.testbed;

import org.HdrHistogram.Histogram;

/** What clients of one route met. Written on the load generator's loop; read once that has ended. */
public final class RouteStatistics {
    private static final long MAX_COMPLETION_TICKS = 600_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Histogram completionTicks = new Histogram(MAX_COMPLETION_TICKS, SIGNIFICANT_DIGITS);
    long calls;
    long requests;
    long rejected;
    long failed;
    long connectionsBroken;
    long connectFailures;
    long closedEarly;

    /** Counts a completed call. */
    void recordCompletion(long ticks) {
        completionTicks.recordValue(ticks);
    }

    /** From the start of a call to its completed response, in ticks. */
    public Histogram completionTicks() {
        return completionTicks;
    }

    /** Calls begun. */
    public long calls() {
        return calls;
    }

    /** Requests of those calls, retries included. */
    public long requests() {
        return requests;
    }

    /** Completed responses; a call has one at the most. */
    public long completed() {
        return completionTicks.getTotalCount();
    }

    /** Rejected responses. */
    public long rejected() {
        return rejected;
    }

    /** Failed responses. */
    public long failed() {
        return failed;
    }

    /** Connections that ended before the response. */
    public long connectionsBroken() {
        return connectionsBroken;
    }

    /** Requests whose node could not be reached. */
    public long connectFailures() {
        return connectFailures;
    }

    /** Requests that the client abandoned before its deadline. */
    public long closedEarly() {
        return closedEarly;
    }
}

package laurelkeel.testbed;

import org.HdrHistogram.Histogram;

/** Statistics of the clients' calls on one route. Written on the load generator's loop; read after it has ended. */
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

    /** Records a completed call. */
    void recordCompletion(long ticks) {
        completionTicks.recordValue(ticks);
    }

    /** Returns the histogram of times from the start of a call to its completed response, in ticks. */
    public Histogram completionTicks() {
        return completionTicks;
    }

    /** Returns the number of calls started. */
    public long calls() {
        return calls;
    }

    /** Returns the number of requests of those calls, including retries. */
    public long requests() {
        return requests;
    }

    /** Returns the number of completed responses; a call has at most one. */
    public long completed() {
        return completionTicks.getTotalCount();
    }

    /** Returns the number of responses that were rejections. */
    public long rejected() {
        return rejected;
    }

    /** Returns the number of responses that were failures. */
    public long failed() {
        return failed;
    }

    /** Returns the number of connections that closed before the response. */
    public long connectionsBroken() {
        return connectionsBroken;
    }

    /** Returns the number of requests whose node could not be reached. */
    public long connectFailures() {
        return connectFailures;
    }

    /** Returns the number of requests that the client abandoned before its deadline. */
    public long closedEarly() {
        return closedEarly;
    }
}

package laurelkeel.soak;

import java.util.List;
import java.util.Locale;

/**
 * What endpoints received for the requests of one client that left.
 *
 * @param requests number of requests that the client sent or began to send
 * @param attempts number of attempts that endpoints received for them
 * @param lateFirst number of requests whose first attempt began too long after the client had left
 * @param lateFurther number of further attempts that began too long after the client had left
 * @param latestSeconds how long after the client had left the last attempt began; 0 if none began after
 * @param completions number of requests served at least once
 * @param ranTwice number of requests that came again, and were served for the client that had left and for the one that returned
 */
public record DepartureResult(
        DepartureCase departureCase,
        ClientBacklog backlog,
        int requests,
        int attempts,
        int lateFirst,
        int lateFurther,
        double latestSeconds,
        int completions,
        int ranTwice) {
    /** The header of the table of results. */
    public static final String HEADER = "| node | attempts are | client | behind | requests | attempts | served "
            + "| late first | late further | last after | ran twice |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

    /** How long after its client has left an attempt may begin, by the users' page. */
    public static final double MAX_SECONDS_AFTER_END = 0.1;

    static DepartureResult of(
            DepartureCase departureCase,
            ClientBacklog backlog,
            List<String> ids,
            double leftAtSeconds,
            AttemptRecorder recorder) {
        int attempts = 0;
        int lateFirst = 0;
        int lateFurther = 0;
        int completions = 0;
        int ranTwice = 0;
        double latest = 0;
        for (String id : ids) {
            List<Double> received = recorder.attempts(id);
            boolean ranLate = false;
            attempts += received.size();
            completions += recorder.completions(id) > 0 ? 1 : 0;
            for (int i = 0; i < received.size(); i++) {
                double afterSeconds = received.get(i) - leftAtSeconds;
                latest = Math.max(latest, afterSeconds);
                boolean late = afterSeconds > MAX_SECONDS_AFTER_END;
                lateFirst += late && i == 0 ? 1 : 0;
                lateFurther += late && i > 0 ? 1 : 0;
                ranLate |= late && recorder.completions(id) > 0;
            }
            ranTwice += ranLate && recorder.completions(id + ScriptedEndpoint.AGAIN) > 0 ? 1 : 0;
        }
        return new DepartureResult(
                departureCase, backlog, ids.size(), attempts, lateFirst, lateFurther, latest, completions, ranTwice);
    }

    /** Whether an attempt began too long after the client had left. */
    public boolean isBroken() {
        return lateFirst + lateFurther > 0;
    }

    /** Returns the result as a row of the table. */
    public String row() {
        return String.format(
                Locale.ROOT,
                "| %s | %s | %s | %s | %d | %d | %d | %d | %d | %.3f | %d |",
                departureCase.node(),
                departureCase.attempts(),
                departureCase.client(),
                backlog,
                requests,
                attempts,
                completions,
                lateFirst,
                lateFurther,
                latestSeconds,
                ranTwice);
    }
}

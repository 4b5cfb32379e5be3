package laurelkeel.front;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import laurelkeel.api.Event;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.api.Settings;
import laurelkeel.api.Ticks;
import laurelkeel.attribution.NodeReport;
import org.jspecify.annotations.Nullable;

/**
 * Counts the outcomes of attempts for each build and reports them to the control service, which attributes regressions
 * by them. Attempts are grouped by the second in which they were sent; a second is reported once most of its attempts
 * have ended. The number of cells of a second and the number of endpoints are bounded. Not thread-safe; used on the
 * event loop's thread, except {@link #uncounted}.
 */
final class AttributionReporter {
    /** Attempts that end at most this long after the second in which they were sent are still reported. */
    private static final long GRACE_SECONDS = 2;

    /** More than any endpoint list has; removed endpoints stay known, since their last attempts are still ending. */
    private static final int MAX_ENDPOINTS = 20_000;

    private record CellKey(int build, int route, String endpointId, int tenant) {}

    private final Settings settings;
    private final String incarnation;
    private final Consumer<AttributionReport> onReport;
    private final Map<String, EndpointEntry> endpoints = new HashMap<>();
    private final TreeMap<Long, Map<CellKey, AttemptSummary>> seconds = new TreeMap<>();
    private final AtomicLong uncounted = new AtomicLong();
    private long lastReportedSecond = -1;

    AttributionReporter(Settings settings, String incarnation, Consumer<AttributionReport> onReport) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.onReport = onReport;
    }

    /** Returns the number of attempts and complaints that could not be counted. Thread-safe. */
    long uncounted() {
        return uncounted.get();
    }

    /** Records which build each endpoint runs. */
    void onEndpoints(Event.EndpointListUpdate update) {
        for (EndpointEntry endpoint : update.entries()) {
            if (endpoints.size() > MAX_ENDPOINTS) {
                endpoints.clear();
            }
            endpoints.put(endpoint.endpointId(), endpoint);
        }
    }

    /** Counts an attempt that has ended, if its outcome carries information about the build. */
    void onAttemptEnded(ResponseReferences.Origin attempt, long nowTicks, AttemptOutcome outcome) {
        boolean isUnanswered = isUnanswered(outcome);
        if (!isUnanswered && outcome != AttemptOutcome.COMPLETED && outcome != AttemptOutcome.FAILED) {
            return;
        }
        EndpointEntry endpoint = endpoints.get(attempt.endpointId());
        AttemptSummary summary = summary(endpoint, attempt);
        if (endpoint == null || summary == null) {
            return;
        }
        summary.attempts++;
        if (isUnanswered) {
            summary.unanswered++;
        } else if (outcome == AttemptOutcome.FAILED) {
            summary.failures++;
        } else if (isWarm(endpoint, attempt.sentAtTicks())) {
            summary.addDuration((nowTicks - attempt.sentAtTicks()) / (double) Ticks.PER_MILLISECOND);
        }
    }

    private static boolean isUnanswered(AttemptOutcome outcome) {
        return outcome == AttemptOutcome.TIMED_OUT
                || outcome == AttemptOutcome.CONNECTION_LOST
                || outcome == AttemptOutcome.CONNECT_FAILED;
    }

    private boolean isWarm(EndpointEntry endpoint, long atTicks) {
        return endpoint.startedAtTicks() == 0
                || atTicks >= endpoint.startedAtTicks() + settings.limits().warmUpTicks();
    }

    /** Counts a complaint about the response to an attempt. */
    void onComplaint(ResponseReferences.Origin attempt) {
        AttemptSummary summary = summary(endpoints.get(attempt.endpointId()), attempt);
        if (summary != null && summary.complaints < summary.attempts) {
            summary.complaints++;
        }
    }

    private @Nullable AttemptSummary summary(@Nullable EndpointEntry endpoint, ResponseReferences.Origin attempt) {
        long second = attempt.sentAtTicks() / Ticks.PER_SECOND;
        if (endpoint == null || second <= lastReportedSecond) {
            uncounted.incrementAndGet();
            return null;
        }
        Map<CellKey, AttemptSummary> cells = seconds.computeIfAbsent(second, key -> new HashMap<>());
        CellKey key = new CellKey(endpoint.build(), attempt.route(), attempt.endpointId(), attempt.tenant());
        AttemptSummary known = cells.get(key);
        if (known != null) {
            return known;
        }
        if (cells.size() >= NodeReport.MAX_CELLS) {
            uncounted.incrementAndGet();
            return null;
        }
        AttemptSummary summary = new AttemptSummary();
        cells.put(key, summary);
        return summary;
    }

    /** Reports all seconds whose grace period is over; called twice a second. */
    void report(long nowTicks) {
        while (!seconds.isEmpty() && seconds.firstKey() + GRACE_SECONDS < nowTicks / Ticks.PER_SECOND) {
            Map.Entry<Long, Map<CellKey, AttemptSummary>> oldest = seconds.pollFirstEntry();
            long second = oldest.getKey();
            lastReportedSecond = second;
            double ageMillis = (nowTicks - (second + 1) * Ticks.PER_SECOND) / (double) Ticks.PER_MILLISECOND;
            onReport.accept(new AttributionReport(
                    settings.nodeIndex(), incarnation, second, ageMillis, cells(oldest.getValue())));
        }
    }

    private static List<AttributionReport.Cell> cells(Map<CellKey, AttemptSummary> summaries) {
        List<AttributionReport.Cell> cells = new ArrayList<>();
        summaries.forEach((key, summary) -> {
            if (summary.attempts > 0) {
                cells.add(summary.toCell(key));
            }
        });
        return cells;
    }

    /** The counts of one cell of a second. */
    private static final class AttemptSummary {
        /** Shorter durations count as this one, since zero has no logarithm. */
        private static final double MIN_DURATION_MILLIS = 0.1;

        private int attempts;
        private int failures;
        private int unanswered;
        private int complaints;
        private int durations;
        private double sumOfLogs;
        private double sumOfSquaredLogs;

        void addDuration(double millis) {
            double log = Math.log(Math.max(MIN_DURATION_MILLIS, millis));
            durations++;
            sumOfLogs += log;
            sumOfSquaredLogs += log * log;
        }

        AttributionReport.Cell toCell(CellKey key) {
            return new AttributionReport.Cell(
                    key.build,
                    key.route,
                    key.endpointId,
                    key.tenant,
                    attempts,
                    failures,
                    unanswered,
                    complaints,
                    durations,
                    sumOfLogs,
                    sumOfSquaredLogs);
        }
    }
}

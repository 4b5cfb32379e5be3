package laurelkeel.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import laurelkeel.api.Ticks;

/** Outcomes and traffic of the last {@value #RETENTION_SECONDS} seconds, in buckets of one second. */
final class OutcomeHistory {
    /** How long buckets are retained. */
    static final long RETENTION_SECONDS = 30;

    private final int routeCount;
    private final TreeMap<Long, OutcomeBucket> bucketsBySecond = new TreeMap<>();

    OutcomeHistory(int routeCount) {
        this.routeCount = routeCount;
    }

    /** Returns the bucket of the second that includes a time; creates it if needed. */
    OutcomeBucket bucketAt(long atTicks) {
        return bucketsBySecond.computeIfAbsent(atTicks / Ticks.PER_SECOND, key -> new OutcomeBucket(routeCount));
    }

    /** Returns the buckets retained, in order of time. */
    Collection<OutcomeBucket> buckets() {
        return bucketsBySecond.values();
    }

    /** Returns the buckets of the current second and of the {@code count} seconds before it. */
    Collection<OutcomeBucket> lastSeconds(long count, long nowTicks) {
        return bucketsBySecond.tailMap(nowTicks / Ticks.PER_SECOND - count).values();
    }

    /** Discards the buckets that are too old. */
    void removeExpired(long nowTicks) {
        long retentionTicks = RETENTION_SECONDS * Ticks.PER_SECOND;
        bucketsBySecond.headMap((nowTicks - retentionTicks) / Ticks.PER_SECOND).clear();
    }

    /** Returns all retained outcomes of a build. */
    RouteOutcomes total(int build) {
        return total(bucketsBySecond.values(), build);
    }

    /** Returns the outcomes of a build in the seconds in which another build has outcomes too. */
    RouteOutcomes totalInSharedSeconds(int build, int otherBuild) {
        return total(
                bucketsBySecond.values().stream()
                        .filter(bucket -> bucket.hasOutcomesOf(otherBuild))
                        .toList(),
                build);
    }

    /** Returns the outcomes of two builds up to now, in spans of {@code spanSeconds} seconds, the last span first. */
    List<ComparedOutcomes> compare(int candidate, int baseline, long spanSeconds, long nowTicks) {
        long nowSecond = nowTicks / Ticks.PER_SECOND;
        long firstSecond = (nowTicks - RETENTION_SECONDS * Ticks.PER_SECOND) / Ticks.PER_SECOND;
        List<ComparedOutcomes> spans = new ArrayList<>();
        for (long end = nowSecond; end > firstSecond; end -= spanSeconds) {
            spans.add(compare(
                    bucketsBySecond.subMap(end - spanSeconds, false, end, true).values(), candidate, baseline));
        }
        return spans;
    }

    /** Returns the outcomes of two builds up to now as one span. */
    List<ComparedOutcomes> compareAsOneSpan(int candidate, int baseline, long nowTicks) {
        long nowSecond = nowTicks / Ticks.PER_SECOND;
        return List.of(compare(bucketsBySecond.headMap(nowSecond, true).values(), candidate, baseline));
    }

    private ComparedOutcomes compare(Collection<OutcomeBucket> span, int candidate, int baseline) {
        return new ComparedOutcomes(total(span, candidate), total(span, baseline));
    }

    private RouteOutcomes total(Collection<OutcomeBucket> span, int build) {
        RouteOutcomes total = new RouteOutcomes(routeCount);
        span.forEach(bucket -> bucket.addTo(total, build));
        return total;
    }
}

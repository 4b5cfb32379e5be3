package laurelkeel.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import laurelkeel.api.Ticks;

/** What happened of late, second by second. */
final class OutcomeHistory {
    /** How many seconds are remembered. */
    static final long MEMORY_SECONDS = 30;

    private final int routeCount;
    private final TreeMap<Long, OutcomeBucket> seconds = new TreeMap<>();

    OutcomeHistory(int routeCount) {
        this.routeCount = routeCount;
    }

    /** Returns the second of a moment, to be added to. */
    OutcomeBucket bucketAt(long atTicks) {
        return seconds.computeIfAbsent(atTicks / Ticks.PER_SECOND, key -> new OutcomeBucket(routeCount));
    }

    /** Returns all seconds remembered, in order. */
    Collection<OutcomeBucket> seconds() {
        return seconds.values();
    }

    /** Returns the seconds from so many before the present one on. */
    Collection<OutcomeBucket> lastSeconds(long count, long nowTicks) {
        return seconds.tailMap(nowTicks / Ticks.PER_SECOND - count).values();
    }

    /** Forgets the seconds that are too old. */
    void forgetOld(long nowTicks) {
        long memoryTicks = MEMORY_SECONDS * Ticks.PER_SECOND;
        seconds.headMap((nowTicks - memoryTicks) / Ticks.PER_SECOND).clear();
    }

    /** Returns all outcomes of a build. */
    RouteOutcomes total(int build) {
        return total(seconds.values(), build);
    }

    /** Returns the outcomes of a build in the seconds in which another one was seen too. */
    RouteOutcomes totalBeside(int build, int other) {
        return total(seconds.values().stream().filter(s -> s.hasSeen(other)).toList(), build);
    }

    /** Returns the outcomes of two builds up to now, by spans of so many seconds, the last span first. */
    List<ComparedOutcomes> compare(int candidate, int baseline, long spanSeconds, long nowTicks) {
        long nowSecond = nowTicks / Ticks.PER_SECOND;
        long firstSecond = (nowTicks - MEMORY_SECONDS * Ticks.PER_SECOND) / Ticks.PER_SECOND;
        List<ComparedOutcomes> spans = new ArrayList<>();
        for (long end = nowSecond; end > firstSecond; end -= spanSeconds) {
            spans.add(
                    compare(seconds.subMap(end - spanSeconds, false, end, true).values(), candidate, baseline));
        }
        return spans;
    }

    /** Returns the outcomes of two builds up to now as one span. */
    List<ComparedOutcomes> compareAsOneSpan(int candidate, int baseline, long nowTicks) {
        long nowSecond = nowTicks / Ticks.PER_SECOND;
        return List.of(compare(seconds.headMap(nowSecond, true).values(), candidate, baseline));
    }

    private ComparedOutcomes compare(Collection<OutcomeBucket> span, int candidate, int baseline) {
        return new ComparedOutcomes(total(span, candidate), total(span, baseline));
    }

    private RouteOutcomes total(Collection<OutcomeBucket> span, int build) {
        RouteOutcomes total = new RouteOutcomes(routeCount);
        span.forEach(second -> second.addTo(total, build));
        return total;
    }
}

package laurelkeel.audit;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import laurelkeel.records.RecordTerms.RolloutPhase;
import laurelkeel.records.TrafficRecord.RolloutUpdateReceived;

/** What one incarnation of a node knew of all rollouts at each moment. Immutable. */
final class RolloutTimeline {
    /** No build, where none was known. */
    private static final int NO_BUILD = -1;

    /** What was known of one build; stage and cap mean nothing where it was no canary. */
    record KnownRollout(boolean isBoundByCap, int stage, double exposureCap) {}

    private static final KnownRollout NOT_A_CANARY = new KnownRollout(false, 0, 1);

    private final double firstStageCap;
    private final Map<Integer, TreeMap<Long, RolloutUpdateReceived>> updatesByBuild = new HashMap<>();
    private final TreeMap<Long, Integer> latestReleased = new TreeMap<>();
    private final TreeMap<Long, Integer> latestKnown = new TreeMap<>();

    /**
     * Builds the timeline.
     *
     * @param firstStageCap the exposure cap of a build of which a node has not heard yet
     */
    RolloutTimeline(List<RolloutUpdateReceived> updates, double firstStageCap) {
        this.firstStageCap = firstStageCap;
        List<RolloutUpdateReceived> sorted = new ArrayList<>(updates);
        sorted.sort(Comparator.comparingLong(RolloutUpdateReceived::timeTicks));
        int released = NO_BUILD;
        int known = NO_BUILD;
        for (RolloutUpdateReceived update : sorted) {
            updatesByBuild
                    .computeIfAbsent(update.build(), build -> new TreeMap<>())
                    .put(update.timeTicks(), update);
            known = Math.max(known, update.build());
            latestKnown.put(update.timeTicks(), known);
            if (update.phase() == RolloutPhase.RELEASED) {
                released = Math.max(released, update.build());
                latestReleased.put(update.timeTicks(), released);
            }
        }
    }

    private static int buildAt(NavigableMap<Long, Integer> builds, long ticks) {
        Map.Entry<Long, Integer> last = builds.floorEntry(ticks);
        return last == null ? NO_BUILD : last.getValue();
    }

    private NavigableMap<Long, RolloutUpdateReceived> updates(int build) {
        NavigableMap<Long, RolloutUpdateReceived> updates = updatesByBuild.get(build);
        return updates == null ? Collections.emptyNavigableMap() : updates;
    }

    /** What was known of a build at a moment. */
    KnownRollout at(int build, long ticks) {
        if (build < buildAt(latestReleased, ticks)) {
            return NOT_A_CANARY;
        }
        Map.Entry<Long, RolloutUpdateReceived> last = updates(build).floorEntry(ticks);
        if (last == null) {
            // a build later than all known ones is in its first stage, though the update has not arrived
            int latest = buildAt(latestKnown, ticks);
            boolean isNewer = latest != NO_BUILD && build > latest;
            return isNewer ? new KnownRollout(true, 0, firstStageCap) : NOT_A_CANARY;
        }
        RolloutUpdateReceived update = last.getValue();
        if (update.phase() == RolloutPhase.RELEASED) {
            return NOT_A_CANARY;
        }
        return new KnownRollout(true, update.stage(), update.exposureCap());
    }

    /** The highest cap known at any moment from one to another. */
    double maxCap(int build, long fromTicks, long toTicks) {
        double max = at(build, fromTicks).exposureCap;
        for (long ticks : updates(build).subMap(fromTicks, false, toTicks, true).keySet()) {
            max = Math.max(max, at(build, ticks).exposureCap);
        }
        return max;
    }

    /** When the build's cap last fell before a moment; Long.MIN_VALUE where it never did. */
    long lastCapReductionTicks(int build, long beforeTicks) {
        long lastReductionTicks = Long.MIN_VALUE;
        double cap = at(build, Long.MIN_VALUE).exposureCap;
        for (long ticks : updates(build).headMap(beforeTicks, false).keySet()) {
            double next = at(build, ticks).exposureCap;
            if (next < cap) {
                lastReductionTicks = ticks;
            }
            cap = next;
        }
        return lastReductionTicks;
    }

    /** Whether a build was a canary or released, at a moment and at any change within the tolerance after it. */
    boolean isInService(int build, long atTicks, long toleranceTicks) {
        if (build < buildAt(latestReleased, atTicks)) {
            return false;
        }
        boolean isInService = true;
        for (RolloutUpdateReceived update :
                updates(build).headMap(atTicks + toleranceTicks, true).values()) {
            isInService = update.phase() == RolloutPhase.CANARY || update.phase() == RolloutPhase.RELEASED;
            if (!isInService && update.timeTicks() > atTicks) {
                return false;
            }
        }
        return isInService;
    }
}

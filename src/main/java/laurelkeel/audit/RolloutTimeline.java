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

/** The state of all rollouts as one incarnation of a node knew it over time. Immutable. */
final class RolloutTimeline {
    /** Marks that no build was known. */
    private static final int NO_BUILD = -1;

    /** The known state of one build. A build that is not bound by a cap has stage 0 and cap 1. */
    record KnownRollout(boolean isBoundByCap, int stage, double exposureCap) {}

    private static final KnownRollout NOT_A_CANARY = new KnownRollout(false, 0, 1);

    private final double firstStageCap;
    private final Map<Integer, TreeMap<Long, RolloutUpdateReceived>> updatesByBuild = new HashMap<>();
    private final TreeMap<Long, Integer> latestReleased = new TreeMap<>();
    private final TreeMap<Long, Integer> latestKnown = new TreeMap<>();

    /**
     * Builds the timeline.
     *
     * @param firstStageCap the exposure cap of a new build whose rollout update the node has not received yet
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

    /** Returns the known state of a build at a time. */
    KnownRollout at(int build, long ticks) {
        if (build < buildAt(latestReleased, ticks)) {
            return NOT_A_CANARY;
        }
        Map.Entry<Long, RolloutUpdateReceived> last = updates(build).floorEntry(ticks);
        if (last == null) {
            // a build later than all known ones is in its first stage, even though no update has arrived so far
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

    /** Returns the highest cap known at any time in an interval, both ends included. */
    double maxCap(int build, long fromTicks, long toTicks) {
        double max = at(build, fromTicks).exposureCap;
        for (long ticks : updates(build).subMap(fromTicks, false, toTicks, true).keySet()) {
            max = Math.max(max, at(build, ticks).exposureCap);
        }
        return max;
    }

    /** Returns when the build's cap was last reduced before a time; Long.MIN_VALUE if it never was. */
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

    /** Returns whether a build was a canary or released at a time and at all updates within the tolerance after it. */
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

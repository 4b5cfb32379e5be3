package laurelkeel.testbed;

import java.util.Map;

/**
 * How a build behaves.
 *
 * @param work its work beside a usual build's
 * @param failing the share of reqs that fail, by route
 * @param failingBusy the share that fails on a machine with all cores in use
 * @param wrong the share answered wrongly, which only clients notice
 * @param workBusy its work, beside a usual build's, on a machine with all cores in use
 * @param failsAfter how long after a machine's start failing acts, in tenths of a millisecond
 * @param togetherWith failing acts only while that build has machines too; 0 for always
 * @param harmsAll how many times slower all machines are where this build has all of them
 */
public record BuildProfile(
        int number,
        double workFactor,
        Map<String, Double> failureShares,
        double busyFailureShare,
        double wrongAnswerShare,
        double busyWorkFactor,
        long failureDelayTicks,
        int interactingBuild,
        double fleetSlowdown) {
    public static BuildProfile healthy(int number) {
        return new BuildProfile(number, 1, Map.of(), 0, 0, 1, 0, 0, 1);
    }
}

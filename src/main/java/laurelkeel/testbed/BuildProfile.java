package laurelkeel.testbed;

import java.util.Map;

/**
 * How a build behaves.
 *
 * @param number the build's number
 * @param workFactor its work, as a multiple of a usual build's
 * @param failureShares the share of requests that fail, by route
 * @param busyFailureShare the further share that fails on a server with all cores in use
 * @param wrongAnswerShare the share answered wrongly, which only clients notice
 * @param busyWorkFactor the multiple of its work on a server with all cores in use
 * @param failureDelayTicks how long after a server's start failures begin
 * @param interactingBuild failures occur only while that build has servers too; 0 for always
 * @param fleetSlowdown by what factor all servers slow down where this build has all of them
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
    /** A build without any fault. */
    public static BuildProfile healthy(int number) {
        return new BuildProfile(number, 1, Map.of(), 0, 0, 1, 0, 0, 1);
    }
}

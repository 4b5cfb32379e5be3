package laurelkeel.testbed;

import java.util.Map;

/**
 * How a build behaves.
 *
 * @param number the build's number
 * @param workFactor work per request, as a multiple of a normal build's
 * @param failureShares share of requests that fail, by route
 * @param busyFailureShare additional share of requests that fail on a server with all cores in use
 * @param wrongAnswerShare share of requests answered wrongly, which only clients notice
 * @param busyWorkFactor further factor on the work per request while all cores are in use and requests are queued
 * @param failureDelayTicks time from a server's start until failures by {@code failureShares} begin
 * @param interactingBuild failures by {@code failureShares} occur only while this other build has active servers; 0
 *     for no such condition
 * @param fleetSlowdown factor by which all servers slow down if all of them run this build; proportionally less if
 *     only some do
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
    /** Returns a build without any fault. */
    public static BuildProfile healthy(int number) {
        return new BuildProfile(number, 1, Map.of(), 0, 0, 1, 0, 0, 1);
    }
}

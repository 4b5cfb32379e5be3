package laurelkeel.soak;

import java.util.Locale;

/**
 * What a flood did to a node and to its other clients.
 *
 * @param alive whether the node still ran at the end
 * @param sent number of requests of the other clients
 * @param served number of them that were served
 * @param highMillis how long 99 of 100 of the other clients' responses took at most
 * @param maxMillis how long the slowest took
 * @param kilobytesRead size of the responses that the misbehaving clients read
 * @param longestSilenceSeconds the longest time for which they all read nothing while the flood lasted
 */
public record FloodResult(
        NodeKind node,
        FloodKind flood,
        boolean alive,
        int peakMemoryMegabytes,
        int sent,
        int served,
        long highMillis,
        long maxMillis,
        long kilobytesRead,
        double longestSilenceSeconds) {
    /** The header of the table of results. */
    public static final String HEADER = "| node | flood | alive | peak memory MB | others sent | others served "
            + "| others p99 ms | others max ms | read KB | silence s |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

    /** Returns the result as a row of the table. */
    public String row() {
        return String.format(
                Locale.ROOT,
                "| %s | %s | %s | %d | %d | %d | %d | %d | %d | %.1f |",
                node,
                flood,
                alive,
                peakMemoryMegabytes,
                sent,
                served,
                highMillis,
                maxMillis,
                kilobytesRead,
                longestSilenceSeconds);
    }
}

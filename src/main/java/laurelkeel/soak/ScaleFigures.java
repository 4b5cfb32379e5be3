package laurelkeel.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * What a node needed in one run of the scale bench.
 *
 * @param scale times the usual number of endpoints
 * @param peakMemoryMegabytes the most memory at once
 * @param peakDescriptors the most open file descriptors at once
 * @param connections made to endpoints
 * @param listBytes of endpoint lists and changes that discovery sent
 * @param fullLists endpoint lists that discovery sent as a whole
 * @param servedShare share of all requests that were served, from 0 to 1
 */
public record ScaleFigures(
        ScaleProfile profile,
        int scale,
        int endpoints,
        double cpuSeconds,
        int peakMemoryMegabytes,
        int peakDescriptors,
        int connections,
        long listBytes,
        int fullLists,
        int requests,
        double servedShare) {
    private static final Limit CPU_SECONDS = new Limit(1.4, 0.02, 0.12);
    private static final Limit MEMORY_MEGABYTES = new Limit(1.5, 8, 4);
    private static final Limit DESCRIPTORS = new Limit(2, 40, 0);
    private static final Limit CONNECTIONS = new Limit(2.5, 40, 0);
    private static final Limit LIST_BYTES = new Limit(2, 64 << 10, 500 << 10);
    private static final double MIN_SERVED_FACTOR = 0.85;
    private static final double BYTES_PER_KILOBYTE = 1024.0;
    private static final double THOUSAND = 1e3;

    /**
     * What the acceptance allows at more endpoints.
     *
     * @param factor of the figure at the usual number
     * @param constant added to that
     * @param perThousandEndpoints added for each thousand endpoints
     */
    private record Limit(double factor, double constant, double perThousandEndpoints) {
        double max(double usual, int endpoints) {
            return factor * usual + constant + perThousandEndpoints * (endpoints / THOUSAND);
        }
    }

    /** Names what goes past the limits of the acceptance, given the figures at the usual number of endpoints. */
    public List<String> overLimits(ScaleFigures usual) {
        List<String> over = new ArrayList<>();
        check(over, "CPU seconds", cpuSeconds, CPU_SECONDS, usual.cpuSeconds);
        check(over, "peak memory", peakMemoryMegabytes, MEMORY_MEGABYTES, usual.peakMemoryMegabytes);
        check(over, "descriptors", peakDescriptors, DESCRIPTORS, usual.peakDescriptors);
        check(over, "connections", connections, CONNECTIONS, usual.connections);
        check(over, "bytes of lists", (double) listBytes, LIST_BYTES, (double) usual.listBytes);
        double minServedShare = MIN_SERVED_FACTOR * usual.servedShare;
        if (servedShare < minServedShare) {
            over.add(String.format(Locale.ROOT, "share served %.3f of %.3f", servedShare, minServedShare));
        }
        return over;
    }

    private void check(List<String> over, String name, double figure, Limit limit, double usual) {
        double max = limit.max(usual, endpoints);
        if (figure > max) {
            over.add(String.format(Locale.ROOT, "%s %.2f of %.2f", name, figure, max));
        }
    }

    /** A row of the table that {@link ScaleBench#HEADER} heads. */
    String row() {
        return String.format(
                Locale.ROOT,
                "| %s | %d | %d | %.2f | %d | %d | %d | %.0f | %d | %d | %.4f |",
                profile.label(),
                scale,
                endpoints,
                cpuSeconds,
                peakMemoryMegabytes,
                peakDescriptors,
                connections,
                listBytes / BYTES_PER_KILOBYTE,
                fullLists,
                requests,
                servedShare);
    }
}

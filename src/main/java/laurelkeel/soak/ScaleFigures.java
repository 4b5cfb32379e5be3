package laurelkeel.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The resources that a node used in one run of the scale bench.
 *
 * @param scale multiple of the profile's reference number of endpoints
 * @param peakMemoryMegabytes peak resident memory
 * @param peakDescriptors highest sampled number of open file descriptors
 * @param connections number of connections opened to endpoints
 * @param listBytes bytes of endpoint lists and changes that discovery sent
 * @param fullLists number of full endpoint lists that discovery sent
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
     * The acceptance limit of one figure, relative to the same figure at the reference number of endpoints.
     *
     * @param factor applied to the reference figure
     * @param constant added to the product
     * @param perThousandEndpoints added for each thousand endpoints
     */
    private record Limit(double factor, double constant, double perThousandEndpoints) {
        double max(double reference, int endpoints) {
            return factor * reference + constant + perThousandEndpoints * (endpoints / THOUSAND);
        }
    }

    /** Lists the figures that exceed their acceptance limits, given the figures at the reference number of endpoints. */
    public List<String> exceededLimits(ScaleFigures reference) {
        List<String> exceeded = new ArrayList<>();
        check(exceeded, "CPU seconds", cpuSeconds, CPU_SECONDS, reference.cpuSeconds);
        check(exceeded, "peak memory", peakMemoryMegabytes, MEMORY_MEGABYTES, reference.peakMemoryMegabytes);
        check(exceeded, "descriptors", peakDescriptors, DESCRIPTORS, reference.peakDescriptors);
        check(exceeded, "connections", connections, CONNECTIONS, reference.connections);
        check(exceeded, "bytes of lists", (double) listBytes, LIST_BYTES, (double) reference.listBytes);
        double minServedShare = MIN_SERVED_FACTOR * reference.servedShare;
        if (servedShare < minServedShare) {
            exceeded.add(String.format(Locale.ROOT, "share served %.3f of %.3f", servedShare, minServedShare));
        }
        return exceeded;
    }

    private void check(List<String> exceeded, String name, double figure, Limit limit, double reference) {
        double max = limit.max(reference, endpoints);
        if (figure > max) {
            exceeded.add(String.format(Locale.ROOT, "%s %.2f of %.2f", name, figure, max));
        }
    }

    /** Formats the figures as a row of the table whose header is {@link ScaleBench#HEADER}. */
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

package laurelkeel.bench;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import laurelkeel.api.Decider;
import laurelkeel.decision.RoutingDecider;
import laurelkeel.partition.PartitionedDecider;

/**
 * Compares the cost of requests with several concurrent rollouts and with one, and measures the attribution's cost for
 * the reports of many nodes.
 */
public final class PartitionBenchmark {
    private static final List<Integer> ENDPOINT_COUNTS = List.of(10, 300);
    private static final int CONCURRENT_ROLLOUTS = 3;
    private static final String HEADER =
            "| machines | module alone, 1 release, ns/req | lanes, 1 release | lanes, 3 releases | 1 lane to alone | 3 to 1 | heap of 3, MiB |\n"
                    + "| --- | --- | --- | --- | --- | --- | --- |";

    private PartitionBenchmark() {}

    /** The nanoseconds for each request that each of the three deciders needed in one round. */
    private record Round(double decider, double onePartition, double threePartitions) {}

    /**
     * Measures and prints a table, and a line about the attribution.
     *
     * @param rounds number of measurements for each number of endpoints; the medians are printed
     * @param requests number of requests in each round
     */
    public static void run(int rounds, int requests, PrintStream out) {
        out.println(HEADER);
        for (int endpoints : ENDPOINT_COUNTS) {
            measure(endpoints, rounds, requests, out);
        }
        AttributionCost.measure(170, 300, 120).print(out);
    }

    private static void measure(int endpoints, int rounds, int requests, PrintStream out) {
        Decider.Factory partitioned = (settings, seed) -> new PartitionedDecider(settings, seed, RoutingDecider::new);
        double heapBefore = Heap.usedMebibytes();
        PartitionLoad threePartitions = new PartitionLoad(partitioned, endpoints, CONCURRENT_ROLLOUTS);
        threePartitions.run(requests);
        double heap = Heap.usedMebibytes() - heapBefore;
        PartitionLoad decider = new PartitionLoad(RoutingDecider::new, endpoints, 1);
        PartitionLoad onePartition = new PartitionLoad(partitioned, endpoints, 1);
        decider.run(requests);
        onePartition.run(requests);
        List<Round> measured = new ArrayList<>();
        for (int i = 0; i < rounds; i++) {
            // alternating, so that other load on the host affects all three
            measured.add(new Round(decider.run(requests), onePartition.run(requests), threePartitions.run(requests)));
        }
        double deciderNanos = Medians.of(measured, Round::decider);
        double oneNanos = Medians.of(measured, Round::onePartition);
        double threeNanos = Medians.of(measured, Round::threePartitions);
        out.printf(
                Locale.ROOT,
                "| %d | %.0f | %.0f | %.0f | %.2f | %.2f | %.1f |%n",
                endpoints,
                deciderNanos,
                oneNanos,
                threeNanos,
                oneNanos / deciderNanos,
                threeNanos / oneNanos,
                heap);
    }
}

package laurelkeel.bench;

import java.util.List;
import laurelkeel.api.Decider;

/** Checksums of a decider's actions in generated event streams, to compare the decisions of two versions. */
public final class DecisionStreams {
    private static final int FIRST_SEED = 100;
    private static final double SECONDS = 40;
    private static final List<Integer> ENDPOINT_COUNTS = List.of(5, 10, 40, 300);
    private static final double LOW_RATE_PER_SECOND = 20;
    private static final double HIGH_RATE_PER_SECOND = 150;

    private DecisionStreams() {}

    /**
     * Runs one event stream and returns the number and the checksum of all actions.
     *
     * @param seed seed of the stream, which also determines the number of endpoints, the request rate, and whether
     *     exposure is counted for each route
     */
    public static String actionChecksum(Decider.Factory deciders, int seed) {
        int streamNumber = seed - FIRST_SEED;
        int sizeIndex = Math.floorMod(streamNumber, ENDPOINT_COUNTS.size());
        double requestsPerSecond = streamNumber % 3 == 0 ? LOW_RATE_PER_SECOND : HIGH_RATE_PER_SECOND;
        boolean exposurePerRoute = streamNumber % 2 == 0;
        EventStream stream =
                new EventStream(deciders, seed, ENDPOINT_COUNTS.get(sizeIndex), requestsPerSecond, exposurePerRoute);
        stream.scheduleRollout(sizeIndex < 2);
        stream.run(SECONDS);
        return stream.checksum();
    }
}

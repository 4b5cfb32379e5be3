package laurelkeel.bench;

import java.util.List;
import laurelkeel.api.Decider;

/** The recorded event streams: checksums of what a decider does in them, to compare two versions of the decisions. */
public final class DecisionStreams {
    private static final int FIRST_SEED = 100;
    private static final double SECONDS = 40;
    private static final List<Integer> ENDPOINT_COUNTS = List.of(5, 10, 40, 300);
    private static final double LOW_RATE_PER_SECOND = 20;
    private static final double HIGH_RATE_PER_SECOND = 150;

    private DecisionStreams() {}

    /**
     * Plays one stream and returns the number and the checksum of all actions.
     *
     * @param seed of the stream; its size and its rate follow from it, too
     */
    public static String actionChecksum(Decider.Factory deciders, int seed) {
        int number = seed - FIRST_SEED;
        int size = Math.floorMod(number, ENDPOINT_COUNTS.size());
        double requestsPerSecond = number % 3 == 0 ? LOW_RATE_PER_SECOND : HIGH_RATE_PER_SECOND;
        boolean exposurePerRoute = number % 2 == 0;
        EventStream stream =
                new EventStream(deciders, seed, ENDPOINT_COUNTS.get(size), requestsPerSecond, exposurePerRoute);
        stream.scheduleRollout(size < 2);
        stream.play(SECONDS);
        return stream.checksum();
    }
}

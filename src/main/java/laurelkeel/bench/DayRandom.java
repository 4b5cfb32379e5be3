package laurelkeel.bench;

import java.util.SplittableRandom;

/** The random numbers of a generated day. Not thread-safe. */
final class DayRandom {
    private static final double ENDPOINT_OFFSET_DEVIATION = 0.05;

    private final SplittableRandom random;

    DayRandom(long seed) {
        random = new SplittableRandom(seed);
    }

    int nextInt(int bound) {
        return random.nextInt(bound);
    }

    double nextDouble() {
        return random.nextDouble();
    }

    /** Returns true with a probability of 1 / {@code n}. */
    boolean nextOneIn(int n) {
        return random.nextInt(n) == 0;
    }

    /** Returns a random number from the standard normal distribution. */
    double nextNormal() {
        return Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
    }

    /** Returns a random offset that is added to the logarithms of one endpoint's latencies. */
    double nextEndpointOffset() {
        return nextNormal() * ENDPOINT_OFFSET_DEVIATION;
    }

    /** Returns a random number from the Poisson distribution. */
    int nextPoisson(double mean) {
        double sum = 0;
        int count = -1;
        while (sum < mean) {
            sum -= Math.log(1 - random.nextDouble());
            count++;
        }
        return count;
    }
}

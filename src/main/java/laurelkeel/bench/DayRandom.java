package laurelkeel.bench;

import java.util.SplittableRandom;

/** The random draws of a generated day; not thread-safe. */
final class DayRandom {
    private static final double ENDPOINT_DEVIATION = 0.05;

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

    /** True once in so many draws. */
    boolean nextOneIn(int draws) {
        return random.nextInt(draws) == 0;
    }

    /** A draw from the standard normal distribution. */
    double nextNormal() {
        return Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
    }

    /** What an endpoint adds to the logarithm of its latencies. */
    double nextEndpointOffset() {
        return nextNormal() * ENDPOINT_DEVIATION;
    }

    /** A draw from the Poisson distribution. */
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

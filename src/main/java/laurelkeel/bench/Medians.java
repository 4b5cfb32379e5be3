package laurelkeel.bench;

import java.util.List;
import java.util.function.ToDoubleFunction;

/** Medians over the rounds of a measurement. */
final class Medians {
    private Medians() {}

    /**
     * Returns the median of one figure over all rounds; with an even number of rounds, the higher of the two middle
     * values.
     *
     * @param rounds the results of the rounds, at least one
     */
    static <T> double of(List<T> rounds, ToDoubleFunction<T> figure) {
        double[] sorted = rounds.stream().mapToDouble(figure).sorted().toArray();
        return sorted[sorted.length / 2];
    }
}

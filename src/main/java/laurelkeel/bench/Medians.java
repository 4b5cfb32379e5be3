package laurelkeel.bench;

import java.util.List;
import java.util.function.ToDoubleFunction;

/** Medians of the rounds of a measurement. */
final class Medians {
    private Medians() {}

    /**
     * The median of one figure of all rounds; the upper one of two.
     *
     * @param rounds at least one
     */
    static <T> double of(List<T> rounds, ToDoubleFunction<T> figure) {
        double[] sorted = rounds.stream().mapToDouble(figure).sorted().toArray();
        return sorted[sorted.length / 2];
    }
}

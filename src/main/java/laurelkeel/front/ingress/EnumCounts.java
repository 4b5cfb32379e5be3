package laurelkeel.front.ingress;

import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A count for each constant of an enum. Thread-safe.
 *
 * @param <E> the enum
 */
public final class EnumCounts<E extends Enum<E>> {
    /** Filled with all constants by the constructor and not modified afterwards, so that it can be read without a lock. */
    private final Map<E, AtomicLong> counts;

    private final Class<E> type;

    /** Creates counts of zero. */
    public EnumCounts(Class<E> type) {
        this.type = type;
        counts = new EnumMap<>(type);
        for (E each : type.getEnumConstants()) {
            counts.put(each, new AtomicLong());
        }
    }

    /** Adds one to the count of a constant. */
    public void increment(E each) {
        Objects.requireNonNull(counts.get(each)).incrementAndGet();
    }

    /** Returns the count of a constant. */
    public long get(E each) {
        return Objects.requireNonNull(counts.get(each)).get();
    }

    /** Returns the counts that are above zero. */
    public Map<E, Long> aboveZero() {
        Map<E, Long> copy = new EnumMap<>(type);
        counts.forEach((each, count) -> {
            if (count.get() > 0) {
                copy.put(each, count.get());
            }
        });
        return copy;
    }

    /** Returns all counts, those of zero included. */
    @Override
    public String toString() {
        return counts.toString();
    }
}

package laurelkeel.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Items to look at again at given moments, in order of the moments and, within one, of their arrival.
 *
 * @param <T> the type of the items
 */
final class DeadlineQueue<T> {
    /** Returned where the queue is empty. */
    static final long NEVER = Long.MAX_VALUE;

    private static final int USUAL_ITEMS_PER_MOMENT = 2;

    private final TreeMap<Long, List<T>> itemsByMoment = new TreeMap<>();

    /** Adds an item for a moment. */
    void add(T item, long atTicks) {
        itemsByMoment
                .computeIfAbsent(atTicks, key -> new ArrayList<>(USUAL_ITEMS_PER_MOMENT))
                .add(item);
    }

    /** Returns the earliest moment in ticks, or {@link #NEVER}. */
    long nextAtTicks() {
        return itemsByMoment.isEmpty() ? NEVER : itemsByMoment.firstKey();
    }

    /** Removes and returns the items of the earliest moment. The queue must not be empty. */
    List<T> removeNext() {
        return itemsByMoment.pollFirstEntry().getValue();
    }
}

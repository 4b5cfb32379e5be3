package laurelkeel.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * A queue of items by due time; items with the same due time keep their insertion order.
 *
 * @param <T> the type of the items
 */
final class DeadlineQueue<T> {
    /** The due time of an empty queue. */
    static final long NEVER = Long.MAX_VALUE;

    private static final int TYPICAL_ITEMS_PER_DUE_TIME = 2;

    private final TreeMap<Long, List<T>> itemsByDueTicks = new TreeMap<>();

    /** Adds an item with a due time. */
    void add(T item, long dueAtTicks) {
        itemsByDueTicks
                .computeIfAbsent(dueAtTicks, key -> new ArrayList<>(TYPICAL_ITEMS_PER_DUE_TIME))
                .add(item);
    }

    /** Returns the earliest due time in ticks, or {@link #NEVER} if the queue is empty. */
    long nextDueAtTicks() {
        return itemsByDueTicks.isEmpty() ? NEVER : itemsByDueTicks.firstKey();
    }

    /** Removes and returns the items with the earliest due time. The queue must not be empty. */
    List<T> removeNext() {
        return itemsByDueTicks.pollFirstEntry().getValue();
    }
}

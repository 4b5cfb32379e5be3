package laurelkeel.bench;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Work that is due at moments in ticks, in the order of these and then of its scheduling; not thread-safe. */
final class EventSchedule {
    private record Due(long atTicks, long order, Runnable work) {}

    private final PriorityQueue<Due> queue =
            new PriorityQueue<>(Comparator.comparingLong(Due::atTicks).thenComparingLong(Due::order));
    private long nextOrder;

    void add(long atTicks, Runnable work) {
        queue.add(new Due(atTicks, nextOrder++, work));
    }

    /** Runs all work that is due. */
    void runUntil(long nowTicks) {
        for (Due next = queue.peek(); next != null && next.atTicks <= nowTicks; next = queue.peek()) {
            queue.remove();
            next.work.run();
        }
    }

    /** The moment of the next work; far ahead where there is none. */
    long nextAtTicks() {
        Due next = queue.peek();
        return next == null ? Long.MAX_VALUE : next.atTicks;
    }
}

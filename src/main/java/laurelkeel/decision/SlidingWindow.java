package laurelkeel.decision;

import java.util.ArrayDeque;

/** The moments of recent events, counted within a window that only advances. */
final class SlidingWindow {
    private final ArrayDeque<Long> momentsTicks = new ArrayDeque<>();

    /** Records an event at a moment that is no earlier than the last one. */
    void record(long nowTicks) {
        momentsTicks.addLast(nowTicks);
    }

    /** Returns how many events there were at a moment or after it, and forgets the earlier ones. */
    int countSince(long fromTicks) {
        removeBefore(fromTicks);
        return momentsTicks.size();
    }

    /** Forgets the events before a moment. */
    void removeBefore(long beforeTicks) {
        while (!momentsTicks.isEmpty() && momentsTicks.peekFirst() < beforeTicks) {
            momentsTicks.pollFirst();
        }
    }

    /** Whether no event is remembered. */
    boolean isEmpty() {
        return momentsTicks.isEmpty();
    }
}

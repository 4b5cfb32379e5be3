package laurelkeel.decision;

import java.util.ArrayDeque;

/** The times of recent events, counted within a window whose start only advances. */
final class SlidingWindow {
    private final ArrayDeque<Long> eventTicks = new ArrayDeque<>();

    /** Records an event, which must not be earlier than the last recorded one. */
    void record(long nowTicks) {
        eventTicks.addLast(nowTicks);
    }

    /** Returns the number of events at or after a time, and removes the earlier ones. */
    int countSince(long fromTicks) {
        removeBefore(fromTicks);
        return eventTicks.size();
    }

    /** Removes the events before a time. */
    void removeBefore(long beforeTicks) {
        while (!eventTicks.isEmpty() && eventTicks.peekFirst() < beforeTicks) {
            eventTicks.pollFirst();
        }
    }

    /** Returns whether no events are stored. */
    boolean isEmpty() {
        return eventTicks.isEmpty();
    }
}

package laurelkeel.front.upstream;

import java.util.ArrayDeque;

/** What is open, being opened and waited for at one machine. Front's thread only. */
final class Pool {
    final Place place;
    /** Last used first: the rest grow old and are closed. */
    final ArrayDeque<Conn> idle = new ArrayDeque<>();

    final ArrayDeque<Exchange> waiting = new ArrayDeque<>();
    int open, dialling;

    Pool(Place place) {
        this.place = place;
    }

    /** Closes the connections that have been idle since before a moment. */
    void closeIdle(long before) {
        while (!idle.isEmpty() && idle.peekLast().idleSince < before) {
            idle.pollLast().session.closeNow();
        }
    }
}

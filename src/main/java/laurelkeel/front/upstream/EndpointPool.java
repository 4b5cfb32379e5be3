package laurelkeel.front.upstream;

import java.util.ArrayDeque;

/** What is open, being opened and waited for at one machine. Front's thread only. */
final class EndpointPool {
    final EndpointAddress place;
    /** Last used first: the rest grow old and are closed. */
    final ArrayDeque<EndpointConnection> idle = new ArrayDeque<>();

    final ArrayDeque<Exchange> waiting = new ArrayDeque<>();
    int open, dialling;

    EndpointPool(EndpointAddress place) {
        this.place = place;
    }

    /** Closes the connections that have been idle since before a moment. */
    void closeIdle(long before) {
        while (!idle.isEmpty() && idle.peekLast().idleSince < before) {
            idle.pollLast().session.closeNow();
        }
    }
}

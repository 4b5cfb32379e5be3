package laurelkeel.front.upstream;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;

/** What is open, being opened and waited for at one machine. Front's thread only. */
final class Pool {
    final String machine;
    final InetSocketAddress address;
    /** Last used first: the rest grow old and are closed. */
    final ArrayDeque<Conn> idle = new ArrayDeque<>();
    final ArrayDeque<Exchange> waiting = new ArrayDeque<>();
    int open, dialling;

    Pool(String machine, InetSocketAddress address) {
        this.machine = machine;
        this.address = address;
    }

    /** Closes the connections that have been idle since before a moment. */
    void closeIdle(long before) {
        while (!idle.isEmpty() && idle.peekLast().idleSince < before) {
            idle.pollLast().session.closeNow();
        }
    }
}

package laurelkeel.soak;

import java.util.Random;

/** How a client behaves for one request, with the percentage of requests that it does so for. */
enum ClientBehavior {
    /** Closes its connection without waiting for the response. */
    DISCONNECTS(3),
    /** Sends several requests at once and leaves before they are all answered, in any {@link ClientDeparture}. */
    LEAVES_BACKLOG(2),
    /** Shuts down its output after the request and still reads the response. */
    HALF_CLOSES(2),
    /** Gives the request a timeout of a few milliseconds. */
    SETS_SHORT_TIMEOUT(2),
    /** Sends a part of the request and keeps the connection open. */
    SENDS_PARTIAL_REQUEST(1),
    /** Waits for the response. */
    AWAITS_RESPONSE(90);

    private static final int HUNDRED = 100;

    private final int percent;

    ClientBehavior(int percent) {
        this.percent = percent;
    }

    static ClientBehavior pick(Random random) {
        int remaining = random.nextInt(HUNDRED);
        for (ClientBehavior behavior : values()) {
            remaining -= behavior.percent;
            if (remaining < 0) {
                return behavior;
            }
        }
        throw new IllegalStateException("the percentages add up to less than 100");
    }
}

package laurelkeel.soak;

import java.util.Random;

/** How a client behaves with one request, and in how many of a hundred it does so. */
enum ClientBehavior {
    /** Closes its connection early. */
    LEAVES(3),
    /** Ends its output and reads on. */
    HALF_CLOSES(2),
    /** Has a few milliseconds left only. */
    HURRIES(2),
    /** Stops in the middle of the request and stays. */
    STOPS(1),
    /** Waits for the answer. */
    WAITS(92);

    private static final int HUNDRED = 100;

    private final int percent;

    ClientBehavior(int percent) {
        this.percent = percent;
    }

    static ClientBehavior draw(Random random) {
        int remaining = random.nextInt(HUNDRED);
        for (ClientBehavior behavior : values()) {
            remaining -= behavior.percent;
            if (remaining < 0) {
                return behavior;
            }
        }
        throw new IllegalStateException("the percentages are less than 100 together");
    }
}

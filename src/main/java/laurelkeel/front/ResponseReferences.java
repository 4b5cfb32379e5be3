package laurelkeel.front;

/**
 * The last answers that went out, for complaints about them: by the number of their req, in rings that grow no more.
 * Front's thread only.
 */
final class ResponseReferences {
    /** An answer that a complaint may be about. */
    record Answer(String machine, long sentAt, int route, int customer) {}

    private final int mask;
    private final long[] req, sentAt;
    private final String[] machine;
    private final int[] route, customer;

    /** @param most a power of two */
    ResponseReferences(int most) {
        mask = most - 1;
        req = new long[most];
        sentAt = new long[most];
        machine = new String[most];
        route = new int[most];
        customer = new int[most];
    }

    void put(long number, String to, long at, int onRoute, int of) {
        int i = (int) (number & mask);
        req[i] = number;
        machine[i] = to;
        sentAt[i] = at;
        route[i] = onRoute;
        customer[i] = of;
    }

    /** The answer to a req, once; null where it is unknown, too long ago or told before. */
    Answer take(long number) {
        int i = (int) (number & mask);
        if (number < 0 || req[i] != number || machine[i] == null) {
            return null;
        }
        Answer a = new Answer(machine[i], sentAt[i], route[i], customer[i]);
        machine[i] = null;
        return a;
    }
}

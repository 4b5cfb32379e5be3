package laurelkeel.bench;

/** The share of requests that failed, got no answer or were complained of; not thread-safe. */
final class HitRate {
    private double requests;
    private double hits;

    void add(boolean hit) {
        requests++;
        hits += hit ? 1 : 0;
    }

    double requests() {
        return requests;
    }

    double hits() {
        return hits;
    }

    /** From 0 to 1; undefined where there were no requests. */
    double share() {
        return hits / requests;
    }
}

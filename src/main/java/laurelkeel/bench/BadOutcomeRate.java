package laurelkeel.bench;

/** The share of requests with a bad outcome: failed, not answered, or the subject of a complaint. Not thread-safe. */
final class BadOutcomeRate {
    private double requests;
    private double badOutcomes;

    void add(boolean isBad) {
        requests++;
        badOutcomes += isBad ? 1 : 0;
    }

    double requests() {
        return requests;
    }

    double badOutcomes() {
        return badOutcomes;
    }

    /** Returns the share of bad outcomes, from 0 to 1; NaN if there were no requests. */
    double share() {
        return badOutcomes / requests;
    }
}

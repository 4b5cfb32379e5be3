package laurelkeel.decision;

/** Limits retries to a share of the requests, with a token bucket to which each request adds a fraction of a token. */
final class RetryBudget {
    private static final double TOKENS_PER_REQUEST = 0.2;
    private static final double MAX_TOKENS = 10;

    private double tokens = MAX_TOKENS;

    /** Adds the tokens of one request. */
    void requestReceived() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
    }

    /** Returns whether the budget covers a number of retries. */
    boolean allows(int retries) {
        return tokens >= retries;
    }

    /** Removes the token of one retry. */
    void spend() {
        tokens--;
    }
}

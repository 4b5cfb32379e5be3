package laurelkeel.decision;

/** Limits retries to a share of the requests, by a token bucket that each request fills a little. */
final class RetryBudget {
    private static final double TOKENS_PER_REQUEST = 0.2;
    private static final double MAX_TOKENS = 10;

    private double tokens = MAX_TOKENS;

    /** Adds the share of one request. */
    void requestReceived() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
    }

    /** Whether so many retries may be sent. */
    boolean allows(int retries) {
        return tokens >= retries;
    }

    /** Takes the token of one retry. */
    void spend() {
        tokens--;
    }
}

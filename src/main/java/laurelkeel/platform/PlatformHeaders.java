package laurelkeel.platform;

/** The names of the headers in the platform's HTTP protocol. */
final class PlatformHeaders {
    /** Id of the request; each request has a new one, and so does a client's retry. */
    static final String REQUEST_ID = "X-Correlation-Id";
    /** Name of the tenant. */
    static final String TENANT = "X-Account";
    /** Partition key of the request. */
    static final String PARTITION_KEY = "X-Session-Key";
    /** How long the sender still waits for the response, in decimal seconds. */
    static final String REMAINING_SECONDS = "X-Time-Left";
    /** {@link #FLAG_SET} if the request is a client's retry. */
    static final String CLIENT_RETRY = "X-Repeat";

    static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    /** {@link #FLAG_SET} if an endpoint rejected an attempt without executing it. */
    static final String NOT_EXECUTED = "X-Unprocessed";
    /** Load of the endpoint, as a JSON object. */
    static final String LOAD_REPORT = "X-Backend-Load";
    /** How long a rejected client should wait before it retries, in decimal seconds. */
    static final String RETRY_AFTER = "Retry-After";

    static final String HOST = "Host";
    static final String CONTENT_TYPE = "Content-Type";
    /** The value of {@link #CLIENT_RETRY} and {@link #NOT_EXECUTED} if they apply. */
    static final String FLAG_SET = "1";

    private PlatformHeaders() {}
}

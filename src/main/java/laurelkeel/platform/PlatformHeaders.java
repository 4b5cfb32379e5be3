package laurelkeel.platform;

/** The headers of the platform's HTTP protocol, by the names that they have on the wire. */
final class PlatformHeaders {
    /** The request's id; fresh with each request, a client's retry included. */
    static final String REQUEST_ID = "X-Correlation-Id";
    /** The tenant's name. */
    static final String TENANT = "X-Account";
    /** What the request is about. */
    static final String PARTITION_KEY = "X-Session-Key";
    /** How long the sender waits for the answer, in decimal seconds. */
    static final String REMAINING_SECONDS = "X-Time-Left";
    /** "1" where a client sends a request again. */
    static final String CLIENT_RETRY = "X-Repeat";

    static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    /** "1" where an endpoint has rejected an attempt that never ran. */
    static final String NOT_EXECUTED = "X-Unprocessed";
    /** An endpoint's load, as a JSON object. */
    static final String LOAD_REPORT = "X-Backend-Load";
    /** How long a rejected client is asked to stay away, in decimal seconds. */
    static final String RETRY_AFTER = "Retry-After";

    static final String HOST = "Host";
    static final String CONTENT_TYPE = "Content-Type";
    /** The value of {@link #CLIENT_RETRY} and {@link #NOT_EXECUTED} where they hold. */
    static final String YES = "1";

    private PlatformHeaders() {}
}

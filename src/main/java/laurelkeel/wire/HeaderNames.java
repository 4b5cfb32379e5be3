package laurelkeel.wire;

/** Header names that clients, front nodes and endpoints share; docs/front.md explains each. */
public final class HeaderNames {
    /** The client's own id of one attempt; forwarded to endpoints. */
    public static final String REQUEST_ID = "X-Request-Id";

    /** Names the tenant of a request. */
    public static final String TENANT = "Laurelkeel-Customer";
    /** Requests with the same key belong together. */
    public static final String PARTITION_KEY = "Laurelkeel-Key";
    /** Identifies a request, so that a retry of it is not executed again. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    /** How long the client still waits, in milliseconds, with fractions. */
    public static final String REMAINING = "Laurelkeel-Remaining-Ms";
    /** The client's estimate of the work, in milliseconds of a usual core. */
    public static final String EXPECTED_WORK_MS = "Laurelkeel-Cost-Ms";
    /** {@code 1} where the client retries an earlier request. */
    public static final String CLIENT_RETRY = "Laurelkeel-Repeat";

    /** {@code completed}, {@code shed} or {@code errored}; on every final response of a front node. */
    public static final String RESULT = "Laurelkeel-Answer";
    /** {@code harmless} on a shed request: nothing was executed, or a retry does no harm. */
    public static final String RETRY_SAFETY = "Laurelkeel-Retry";

    /** The advised wait before a retry, in seconds, rounded up. */
    public static final String RETRY_AFTER = "Retry-After";
    /** The same in milliseconds. */
    public static final String RETRY_AFTER_MS = "Laurelkeel-Retry-After-Ms";
    /** {@code no} where the front node rejected the request before any decision about it. */
    public static final String ACCEPTED = "Laurelkeel-Taken";
    /** Names one completed response, for a complaint about it. */
    public static final String RESPONSE_REFERENCE = "Laurelkeel-Ref";

    /** The number of an attempt of its request, from 0. */
    public static final String ATTEMPT = "Laurelkeel-Try";
    /** {@code number/life} of the front node that sends. */
    public static final String FRONT = "Laurelkeel-Front";
    /** {@code no} in an endpoint's response: it did not execute the attempt. */
    public static final String EXECUTED = "Laurelkeel-Ran";
    /** An endpoint's load: {@code name=value} pairs with commas between. */
    public static final String LOAD_REPORT = "Laurelkeel-Load";

    /** The build that an endpoint runs. */
    public static final String BUILD = "Laurelkeel-Build";

    private HeaderNames() {}
}

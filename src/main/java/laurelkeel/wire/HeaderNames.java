package laurelkeel.wire;

/** Names of the headers that clients, front nodes and endpoints exchange; docs/front.md describes each of them. */
public final class HeaderNames {
    /** The id that the client assigned to one attempt; forwarded to endpoints. */
    public static final String REQUEST_ID = "X-Request-Id";

    /** The name of the tenant. */
    public static final String TENANT = "Laurelkeel-Customer";
    /** The partition key: requests with the same key belong together. */
    public static final String PARTITION_KEY = "Laurelkeel-Key";
    /** Identifies a request across retries, so that a retry is not executed again. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    /** The time for which the client keeps waiting, in milliseconds; may have a fraction. */
    public static final String REMAINING = "Laurelkeel-Remaining-Ms";
    /** The client's estimate of the work, in milliseconds on a typical core. */
    public static final String EXPECTED_WORK_MS = "Laurelkeel-Cost-Ms";
    /** {@code 1} if the client retries an earlier request. */
    public static final String CLIENT_RETRY = "Laurelkeel-Repeat";

    /** The result of a request: {@code completed}, {@code shed} or {@code errored}; set on every final response of a node. */
    public static final String RESULT = "Laurelkeel-Answer";
    /** {@code harmless} on the response to a shed request: it was not executed, or a retry has no adverse effect. */
    public static final String RETRY_SAFETY = "Laurelkeel-Retry";

    /** The advised delay before a retry, in seconds, rounded up. */
    public static final String RETRY_AFTER = "Retry-After";
    /** The advised delay before a retry, in milliseconds. */
    public static final String RETRY_AFTER_MS = "Laurelkeel-Retry-After-Ms";
    /** {@code no} if the front node rejected the request before any routing decision. */
    public static final String ACCEPTED = "Laurelkeel-Taken";
    /** Identifies a completed response, so that a later complaint can refer to it. */
    public static final String RESPONSE_REFERENCE = "Laurelkeel-Ref";

    /** The index of an attempt within its request, starting at 0. */
    public static final String ATTEMPT = "Laurelkeel-Try";
    /** The front node that sends an attempt, as {@code index/incarnation}. */
    public static final String FRONT = "Laurelkeel-Front";
    /** {@code no} in an endpoint's response if it did not execute the attempt. */
    public static final String EXECUTED = "Laurelkeel-Ran";
    /** An endpoint's load: {@code name=value} pairs separated by commas. */
    public static final String LOAD_REPORT = "Laurelkeel-Load";

    /** The build that an endpoint runs. */
    public static final String BUILD = "Laurelkeel-Build";

    private HeaderNames() {}
}

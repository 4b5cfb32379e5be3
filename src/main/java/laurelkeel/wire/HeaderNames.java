package laurelkeel.wire;

/** Header names that clients, fronts and machines share; docs/front.md explains each. Standard ones where they are. */
public final class HeaderNames {
    /** The client's own id of one try; passed on to machines. */
    public static final String REQUEST_ID = "X-Request-Id";

    public static final String TENANT = "Laurelkeel-Customer";
    public static final String PARTITION_KEY = "Laurelkeel-Key";
    /** The mark against repeats. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    /** How long the client still waits, in milliseconds with fractions. */
    public static final String REMAINING = "Laurelkeel-Remaining-Ms";
    /** The client's guess of the work, in milliseconds of a usual core. */
    public static final String EXPECTED_WORK_MS = "Laurelkeel-Cost-Ms";
    /** 1 where the client asks again for the same. */
    public static final String CLIENT_RETRY = "Laurelkeel-Repeat";

    /** completed, shed or errored; on every final answer of a front. */
    public static final String RESULT = "Laurelkeel-Answer";
    /** "harmless" on a shed: nothing ran, or a repeat does no harm. */
    public static final String RETRY_SAFETY = "Laurelkeel-Retry";

    public static final String RETRY_AFTER = "Retry-After";
    public static final String RETRY_AFTER_MS = "Laurelkeel-Retry-After-Ms";
    /** "no" where the front turned the req away at its door, before any decision on it. */
    public static final String ACCEPTED = "Laurelkeel-Taken";
    /** Names one completed answer, for a complaint about it. */
    public static final String RESPONSE_REFERENCE = "Laurelkeel-Ref";

    /** The number of an upstream try of its req, from 0. */
    public static final String ATTEMPT = "Laurelkeel-Try";
    /** number/life of the front that sends. */
    public static final String FRONT = "Laurelkeel-Front";
    /** "no" in a machine's answer: its word that the try never ran. */
    public static final String EXECUTED = "Laurelkeel-Ran";
    /** A machine's load: name=value pairs with commas between. */
    public static final String LOAD_REPORT = "Laurelkeel-Load";

    public static final String BUILD = "Laurelkeel-Build";

    private HeaderNames() {}
}

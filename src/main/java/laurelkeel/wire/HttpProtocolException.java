package laurelkeel.wire;

/** Input that cannot be accepted as HTTP, with the status to answer; its connection cannot be read on. */
public final class HttpProtocolException extends Exception {
    private static final long serialVersionUID = 1L;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final int status;

    /**
     * Creates an exception without a stack trace.
     *
     * @param status of the response
     * @param message says what is wrong; a part of the response
     */
    public HttpProtocolException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    /** Returns the exception for a valid message whose body finds no free budget. */
    public static HttpProtocolException bodyBudgetExhausted() {
        return new HttpProtocolException(SERVICE_UNAVAILABLE, "no room for this body now");
    }

    /** Returns the status to answer. */
    public int status() {
        return status;
    }
}

package laurelkeel.wire;

/**
 * Signals input that is not acceptable as HTTP, or an invalid request, with the status of the response. After one that the parser
 * has thrown, no further input of the connection can be read.
 */
public final class HttpProtocolException extends Exception {
    private static final long serialVersionUID = 1L;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final int status;

    /**
     * Creates an exception without a stack trace.
     *
     * @param status the status of the response
     * @param message the cause, which becomes part of the response
     */
    public HttpProtocolException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    /** Returns the exception for a valid message whose body exceeds the remaining memory budget. */
    public static HttpProtocolException bodyBudgetExhausted() {
        return new HttpProtocolException(SERVICE_UNAVAILABLE, "no room for this body now");
    }

    /** Returns the status of the response. */
    public int status() {
        return status;
    }
}

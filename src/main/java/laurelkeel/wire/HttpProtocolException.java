package laurelkeel.wire;

/** Input that is not the HTTP we take, with the status to answer; the connection cannot go on after it. */
public final class HttpProtocolException extends Exception {
    private static final long serialVersionUID = 1L;
    private final int status;

    public HttpProtocolException(int status, String what) {
        super(what, null, false, false);
        this.status = status;
    }

    /** Nothing is wrong with it but that there is no room for its body now. */
    public static HttpProtocolException bodyBudgetExhausted() {
        return new HttpProtocolException(503, "no room for this body now");
    }

    public int status() {
        return status;
    }
}

package laurelkeel.wire;

/**
 * A complete HTTP/1.x response.
 *
 * @param minorVersion 0 or 1
 * @param body not copied; must not be modified
 * @param answersHead whether this is the response to a HEAD request, which has the length of the body but not the body itself
 */
// copying each body would slow down every request; responses are not compared
@SuppressWarnings("ArrayRecordComponent")
public record HttpResponse(int status, int minorVersion, Headers headers, byte[] body, boolean answersHead)
        implements HttpMessage {
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    /** Creates an HTTP/1.1 response to a request other than HEAD. */
    public HttpResponse(int status, Headers headers, byte[] body) {
        this(status, 1, headers, body, false);
    }

    /** Returns whether the response has no body regardless of its headers (RFC 9112, section 6.3). */
    boolean endsWithItsHead() {
        return answersHead || excludesBody(status);
    }

    /** Returns whether no response with this status has a body. */
    static boolean excludesBody(int status) {
        return status == NO_CONTENT || status == NOT_MODIFIED;
    }
}

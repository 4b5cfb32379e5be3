package laurelkeel.wire;

/**
 * A complete HTTP/1.x response.
 *
 * @param minorVersion 0 or 1
 * @param body not copied; must not be modified
 * @param answersHead whether this is the response to a HEAD request, which has the length of the body but not the body itself
 * @param hasDoubtfulEnd whether bytes behind the response cast doubt on its end: a length that is too short leaves the rest of the
 *     body there
 */
// copying each body would slow down every request; responses are not compared
@SuppressWarnings("ArrayRecordComponent")
public record HttpResponse(
        int status, int minorVersion, Headers headers, byte[] body, boolean answersHead, boolean hasDoubtfulEnd)
        implements HttpMessage {
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    /** Creates an HTTP/1.1 response to a request other than HEAD. */
    public HttpResponse(int status, Headers headers, byte[] body) {
        this(status, 1, headers, body, false);
    }

    /** Creates a response whose end is not in doubt. */
    public HttpResponse(int status, int minorVersion, Headers headers, byte[] body, boolean answersHead) {
        this(status, minorVersion, headers, body, answersHead, false);
    }

    /** Returns this response with an end that is in doubt. */
    HttpResponse withDoubtfulEnd() {
        return new HttpResponse(status, minorVersion, headers, body, answersHead, true);
    }

    /** Returns whether the response could have a body and states that this is empty, which its head alone cannot confirm. */
    public boolean statesEmptyBody() {
        return body.length == 0 && !endsWithItsHead();
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

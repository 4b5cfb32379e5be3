package laurelkeel.wire;

/**
 * A complete HTTP/1.x response.
 *
 * @param minorVersion 0 or 1
 * @param body not copied, and not to be changed
 * @param answersHead whether it answers a HEAD request: the body is left out on the wire, though its length is stated
 */
// a copy of each body would cost the request path; responses are not compared
@SuppressWarnings("ArrayRecordComponent")
public record HttpResponse(int status, int minorVersion, Headers headers, byte[] body, boolean answersHead)
        implements HttpMessage {

    /** Creates an HTTP/1.1 response to a request other than HEAD. */
    public HttpResponse(int status, Headers headers, byte[] body) {
        this(status, 1, headers, body, false);
    }
}

package laurelkeel.wire;

/**
 * A complete HTTP/1.x request.
 *
 * @param target the path with its query
 * @param minorVersion 0 or 1
 * @param body not copied, and not to be changed
 */
// a copy of each body would cost the request path; requests are not compared
@SuppressWarnings("ArrayRecordComponent")
public record HttpRequest(String method, String target, int minorVersion, Headers headers, byte[] body)
        implements HttpMessage {

    /** Returns the path without its query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}

package laurelkeel.wire;

/**
 * A complete HTTP/1.x request.
 *
 * @param target the path, including the query
 * @param minorVersion 0 or 1
 * @param body not copied; must not be modified
 */
// copying each body would slow down every request; requests are not compared
@SuppressWarnings("ArrayRecordComponent")
public record HttpRequest(String method, String target, int minorVersion, Headers headers, byte[] body)
        implements HttpMessage {

    /** Returns the path without its query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}

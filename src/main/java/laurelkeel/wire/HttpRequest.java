package laurelkeel.wire;

/** One whole HTTP request; minor is 0 or 1, of HTTP/1.x. */
public record HttpRequest(String method, String target, int minorVersion, Headers headers, byte[] body) {

    /** The path without its query. */
    public String path() {
        int q = target.indexOf('?');
        return q < 0 ? target : target.substring(0, q);
    }

    /** Whether the sender wants the connection to end after the answer. */
    public boolean closesConnection() {
        return minorVersion == 0 ? !headers.has("Connection", "keep-alive") : headers.has("Connection", "close");
    }
}

package laurelkeel.wire;

/** One whole HTTP answer. toHead: the body is left out on the wire, as after HEAD, though its length is told. */
public record HttpResponse(int status, int minorVersion, Headers headers, byte[] body, boolean answersHead) {

    public HttpResponse(int status, Headers headers, byte[] body) {
        this(status, 1, headers, body, false);
    }

    public boolean closesConnection() {
        return minorVersion == 0 ? !headers.has("Connection", "keep-alive") : headers.has("Connection", "close");
    }
}

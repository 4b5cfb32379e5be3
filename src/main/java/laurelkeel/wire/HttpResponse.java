package laurelkeel.wire;

/** One whole HTTP answer. toHead: the body is left out on the wire, as after HEAD, though its length is told. */
public record HttpResponse(int status, int minor, Headers headers, byte[] body, boolean toHead) {

    public HttpResponse(int status, Headers headers, byte[] body) {
        this(status, 1, headers, body, false);
    }

    public boolean last() {
        return minor == 0 ? !headers.has("Connection", "keep-alive") : headers.has("Connection", "close");
    }
}

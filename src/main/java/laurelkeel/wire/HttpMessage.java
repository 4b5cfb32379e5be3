package laurelkeel.wire;

/** A complete HTTP/1.x message. */
public sealed interface HttpMessage permits HttpRequest, HttpResponse {
    /** Returns the minor version of HTTP/1.x: 0 or 1. */
    int minorVersion();

    /** Returns the header lines in their original order. */
    Headers headers();

    /** Returns the body, which is not copied and must not be modified; empty if there is none. */
    byte[] body();

    /** Whether the sender asks for the connection to be closed after this response, or after the response to this request. */
    default boolean closesConnection() {
        return minorVersion() == 0
                ? !headers().has("Connection", "keep-alive")
                : headers().has("Connection", "close");
    }
}

package laurelkeel.wire;

/** A complete HTTP/1.x message. */
public sealed interface HttpMessage permits HttpRequest, HttpResponse {
    /** Returns the minor version of HTTP/1.x: 0 or 1. */
    int minorVersion();

    /** Returns the header lines in the order they came. */
    Headers headers();

    /** Returns the body, which is not copied and must not be changed; empty for none. */
    byte[] body();

    /** Whether the sender wants the connection closed after this message, or after the response to it. */
    default boolean closesConnection() {
        return minorVersion() == 0
                ? !headers().has("Connection", "keep-alive")
                : headers().has("Connection", "close");
    }
}

package laurelkeel.wire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** The bytes that were read behind a complete response although no further request has been sent. */
final class SurplusInput {
    private static final int HTTP_VERSION_BYTES = "HTTP/1.1".length();
    /** Further bytes change nothing about whether the first ones are a copy. */
    static final int DECISIVE_BYTES = "HTTP/1.1 200".length();

    private SurplusInput() {}

    /** Returns the bytes with which a copy of a response begins: its HTTP version and status. */
    static byte[] startOf(HttpResponse response) {
        return ("HTTP/1." + response.minorVersion() + ' ' + response.status()).getBytes(StandardCharsets.US_ASCII);
    }

    /**
     * Returns whether the bytes are the beginning of a second copy of a response, or as much of it as has been read, but at least
     * its HTTP version.
     *
     * @param responseStart the result of {@link #startOf} for the response; empty if there is none
     * @param surplus its position is not changed
     */
    static boolean isCopy(byte[] responseStart, ByteBuffer surplus) {
        return responseStart.length > 0
                && surplus.remaining() >= HTTP_VERSION_BYTES
                && HttpSyntax.haveCommonStart(responseStart, surplus);
    }
}

package laurelkeel.wire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** The bytes that were read behind a complete response although no further request has been sent. */
final class SurplusInput {
    private static final int HTTP_VERSION_BYTES = "HTTP/1.1".length();

    private SurplusInput() {}

    /**
     * Returns whether the bytes are the beginning of a second copy of a response: its HTTP version and status, or as much of
     * them as has been read, but at least the version.
     *
     * @param surplus its position is not changed
     */
    static boolean isCopyOf(HttpResponse response, ByteBuffer surplus) {
        byte[] start =
                ("HTTP/1." + response.minorVersion() + ' ' + response.status()).getBytes(StandardCharsets.US_ASCII);
        return surplus.remaining() >= HTTP_VERSION_BYTES && HttpSyntax.haveCommonStart(start, surplus);
    }
}

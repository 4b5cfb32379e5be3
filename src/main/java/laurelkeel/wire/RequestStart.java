package laurelkeel.wire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Tells whether input behind a request may be the beginning of a pipelined request. */
final class RequestStart {
    /** The methods of RFC 9110, section 9.3, and RFC 5789, each with the space behind it. */
    private static final List<byte[]> METHODS =
            List.of("GET ", "HEAD ", "POST ", "PUT ", "DELETE ", "CONNECT ", "OPTIONS ", "TRACE ", "PATCH ").stream()
                    .map(method -> method.getBytes(StandardCharsets.US_ASCII))
                    .toList();

    private RequestStart() {}

    /**
     * Returns whether the bytes begin with a method, or are the beginning of one. Line ends before it are skipped (RFC 9112,
     * section 2.2).
     *
     * @param input its position is not changed
     */
    static boolean isPossible(ByteBuffer input) {
        ByteBuffer rest = input.duplicate();
        while (rest.hasRemaining() && isLineEnd(rest.get(rest.position()))) {
            rest.get();
        }
        return METHODS.stream().anyMatch(method -> HttpSyntax.haveCommonStart(method, rest));
    }

    private static boolean isLineEnd(byte each) {
        return each == '\r' || each == '\n';
    }
}

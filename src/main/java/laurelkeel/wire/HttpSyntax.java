package laurelkeel.wire;

import java.nio.ByteBuffer;

/** Syntax elements shared by the parts of the parser (RFC 9110, section 5.6, and RFC 9112). */
final class HttpSyntax {
    private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";
    private static final int MAX_QUOTED_CHARS = 60;
    private static final int MAX_CHUNK_SIZE_DIGITS = 8;
    private static final int HEXADECIMAL = 16;

    private HttpSyntax() {}

    static boolean isToken(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            boolean valid = (c >= 'a' && c <= 'z')
                    || (c >= 'A' && c <= 'Z')
                    || (c >= '0' && c <= '9')
                    || TOKEN_PUNCTUATION.indexOf(c) >= 0;
            if (!valid) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    /**
     * Returns whether a text and the remaining bytes agree as far as the shorter of them goes.
     *
     * @param text in ASCII
     * @param bytes its position is not changed
     */
    static boolean haveCommonStart(byte[] text, ByteBuffer bytes) {
        int length = Math.min(text.length, bytes.remaining());
        return ByteBuffer.wrap(text, 0, length).equals(bytes.slice(bytes.position(), length));
    }

    /** Returns input in a form for error messages: truncated, and with each non-printable character replaced by {@code ?}. */
    static String quote(String text) {
        String cut = text.length() > MAX_QUOTED_CHARS ? text.substring(0, MAX_QUOTED_CHARS) + "..." : text;
        return cut.replaceAll("[^ -~]", "?");
    }

    /** Returns the minor version of {@code HTTP/1.0} or {@code HTTP/1.1}. */
    static int parseMinorVersion(String text) throws HttpProtocolException {
        if (text.equals("HTTP/1.1") || text.equals("HTTP/1.0")) {
            return text.charAt(7) - '0';
        }
        throw new HttpProtocolException(
                text.startsWith("HTTP/") ? 505 : 400, "'" + quote(text) + "' is not HTTP/1.0 or 1.1");
    }

    /** Returns the chunk size from the first line of a chunk; chunk extensions are ignored. */
    static long parseChunkSize(String line) throws HttpProtocolException {
        int extensions = line.indexOf(';');
        String digits = (extensions < 0 ? line : line.substring(0, extensions)).strip();
        boolean valid = !digits.isEmpty() && digits.length() <= MAX_CHUNK_SIZE_DIGITS;
        long size = 0;
        for (int i = 0; valid && i < digits.length(); i++) {
            // the limit to ASCII is needed because Character.digit also accepts digits of other scripts
            int digit = digits.charAt(i) < 128 ? Character.digit(digits.charAt(i), HEXADECIMAL) : -1;
            valid = digit >= 0;
            size = size * HEXADECIMAL + digit;
        }
        if (!valid) {
            throw new HttpProtocolException(400, "no chunk size: '" + quote(line) + "'");
        }
        return size;
    }
}

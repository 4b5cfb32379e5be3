package laurelkeel.wire;

import java.util.Locale;
import org.jspecify.annotations.Nullable;

/**
 * Determines from the headers of a message where its body ends (RFC 9112, section 6). It rejects headers that HTTP
 * implementations could interpret differently: more than one Content-Length, Content-Length together with Transfer-Encoding, and
 * transfer encodings other than chunked. Reused for all messages of a connection; not thread-safe.
 */
final class MessageFraming {
    /** What ends the body of a message. */
    enum BodyEnd {
        /** The length given by {@link MessageFraming#contentLength}. */
        LENGTH,
        /** The last chunk. */
        LAST_CHUNK,
        /** The headers do not specify an end: a request has no body, and a response ends when its connection is closed. */
        UNSPECIFIED
    }

    private static final String TRANSFER_ENCODING = "Transfer-Encoding";
    private static final String CONTENT_LENGTH = "Content-Length";
    private static final int MAX_LENGTH_DIGITS = 18;

    private long contentLength;

    /** Determines the end of the body from the headers of a message. */
    BodyEnd read(Headers headers, int minorVersion) throws HttpProtocolException {
        boolean hasEncoding = headers.count(TRANSFER_ENCODING) > 0;
        int lengths = headers.count(CONTENT_LENGTH);
        if (hasEncoding && (lengths > 0 || minorVersion == 0)) {
            throw new HttpProtocolException(400, "Transfer-Encoding beside Content-Length or in HTTP/1.0");
        }
        if (hasEncoding && (headers.count(TRANSFER_ENCODING) > 1 || !isChunked(headers.get(TRANSFER_ENCODING)))) {
            throw new HttpProtocolException(501, "Transfer-Encoding other than chunked");
        }
        if (lengths > 1) {
            throw new HttpProtocolException(400, "Content-Length stands twice");
        }
        String length = headers.get(CONTENT_LENGTH);
        contentLength = length == null ? 0 : parseLength(length);
        if (hasEncoding) {
            return BodyEnd.LAST_CHUNK;
        }
        return length == null ? BodyEnd.UNSPECIFIED : BodyEnd.LENGTH;
    }

    /** Returns the Content-Length of the most recent message, in bytes; 0 if it has none. */
    long contentLength() {
        return contentLength;
    }

    private static boolean isChunked(@Nullable String encoding) {
        return encoding != null && encoding.toLowerCase(Locale.ROOT).equals("chunked");
    }

    private static long parseLength(String text) throws HttpProtocolException {
        boolean digits = !text.isEmpty() && text.length() <= MAX_LENGTH_DIGITS;
        for (int i = 0; i < text.length(); i++) {
            digits &= text.charAt(i) >= '0' && text.charAt(i) <= '9';
        }
        if (!digits) {
            throw new HttpProtocolException(400, "Content-Length is no number: '" + HttpSyntax.quote(text) + "'");
        }
        return Long.parseLong(text);
    }
}

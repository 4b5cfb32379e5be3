package laurelkeel.wire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * Reads HTTP/1.x messages from bytes that come in any pieces (RFC 9112). It is strict where two readers could
 * disagree on where a message ends, for there a connection shared by many clients loses step: no bare CR, no folded
 * lines, no space before a colon, one Content-Length at most and never beside Transfer-Encoding, chunked only.
 */
public final class HttpParser {

    /** Which side of HTTP it reads. */
    public enum MessageKind {
        REQUEST,
        RESPONSE
    }

    private enum At {
        START,
        HEADERS,
        BODY,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS,
        UNTIL_CLOSE,
        BROKEN
    }

    private final MessageKind side;
    private final HttpLimits limits;
    private final ByteBudget room;
    /** Given the bytes of bodies as they come, where those are streams; null where bodies are held whole. */
    private final Consumer<byte[]> parts;

    private At at = At.START;
    private byte[] line = new byte[256];
    private int lineLength;
    private boolean sawCr;
    private int headerBytes;
    private long chunkLeft;
    private boolean bodiless;

    private String first, second;
    private int status, minor;
    private Headers headers = new Headers();
    private byte[] body = new byte[0];
    private int bodyLength;

    public HttpParser(MessageKind side, HttpLimits limits) {
        this(side, limits, new ByteBudget(Long.MAX_VALUE));
    }

    /** @param room for bodies; a whole message's body is given back by whoever takes the message */
    public HttpParser(MessageKind side, HttpLimits limits, ByteBudget room) {
        this(side, limits, room, null);
    }

    private HttpParser(MessageKind side, HttpLimits limits, ByteBudget room, Consumer<byte[]> parts) {
        this.side = side;
        this.limits = limits;
        this.room = room;
        this.parts = parts;
    }

    /** For an answer that never ends: its body goes on as it comes, and each chunk has the limit of a body. */
    public static HttpParser streamed(HttpLimits limits, Consumer<byte[]> parts) {
        return new HttpParser(MessageKind.RESPONSE, limits, new ByteBudget(0), parts);
    }

    /** Of the answer that is being read, once its first line is. */
    public int status() {
        return status;
    }

    /** The connection is gone: what is half read is given back. */
    public void close() {
        room.release(body.length);
        body = new byte[0];
        bodyLength = 0;
        at = At.BROKEN;
    }

    /** For answers: the next one is to a HEAD request and carries no body whatever its headers say. */
    public void expectHeadResponse() {
        bodiless = true;
    }

    /** True between messages: an end of input here loses nothing. */
    public boolean idle() {
        return at == At.START && lineLength == 0 && !sawCr;
    }

    /** True once a message's headers are whole and its body is not. */
    public boolean inBody() {
        return at.ordinal() >= At.BODY.ordinal() && at != At.BROKEN;
    }

    /** True where the request whose body is awaited asked to be told to go on. */
    public boolean wantsContinue() {
        return side == MessageKind.REQUEST
                && inBody()
                && minor == 1
                && bodyLength == 0
                && headers.has("Expect", "100-continue");
    }

    /**
     * Takes bytes until one message is whole.
     *
     * @return an HttpReq or HttpAnswer, or null where the bytes ran out first; call again while bytes remain
     */
    public Object read(ByteBuffer in) throws HttpProtocolException {
        try {
            while (in.hasRemaining()) {
                Object whole = step(in);
                if (whole != null) {
                    return whole;
                }
            }
            return null;
        } catch (HttpProtocolException e) {
            at = At.BROKEN;
            throw e;
        }
    }

    /** The input ended. Answers without a length end here; anything else half read is lost: null. */
    public Object finish() {
        return at == At.UNTIL_CLOSE ? whole() : null;
    }

    private Object step(ByteBuffer in) throws HttpProtocolException {
        switch (at) {
            case BODY, UNTIL_CLOSE -> {
                return fill(in);
            }
            case CHUNK -> {
                int n = (int) Math.min(chunkLeft, in.remaining());
                append(in, n);
                chunkLeft -= n;
                at = chunkLeft == 0 ? At.CHUNK_END : at;
                return null;
            }
            case BROKEN -> {
                in.position(in.limit());
                return null;
            }
            default -> {
                String text = line(in);
                return text == null ? null : take(text);
            }
        }
    }

    private Object fill(ByteBuffer in) throws HttpProtocolException {
        if (at == At.UNTIL_CLOSE) {
            append(in, in.remaining());
            return null;
        }
        // room grows as bytes come: a length alone, told on many connections, must not take memory
        int n = (int) Math.min(chunkLeft, in.remaining());
        append(in, n);
        chunkLeft -= n;
        return chunkLeft == 0 ? whole() : null;
    }

    private void append(ByteBuffer in, int n) throws HttpProtocolException {
        if (parts != null) {
            byte[] part = new byte[n];
            in.get(part);
            parts.accept(part);
            return;
        }
        if ((long) bodyLength + n > limits.maxBodyBytes()) {
            throw new HttpProtocolException(413, "the body is over " + limits.maxBodyBytes() + " bytes");
        }
        if (bodyLength + n > body.length) {
            int longer = Math.min(limits.maxBodyBytes(), Math.max(bodyLength + n, body.length * 2 + 512));
            if (!room.tryReserve(longer - body.length)) {
                throw HttpProtocolException.bodyBudgetExhausted();
            }
            body = Arrays.copyOf(body, longer);
        }
        in.get(body, bodyLength, n);
        bodyLength += n;
    }

    /**
     * One line without its end, or null until it is whole. In answers a bare LF ends a line too (RFC 9112, 2.2); in
     * requests it does not: a reader behind us may not think so, and see another request there.
     */
    private String line(ByteBuffer in) throws HttpProtocolException {
        int most = at == At.START ? limits.maxLineBytes() : at == At.CHUNK_SIZE ? 256 : limits.maxHeaderBytes();
        while (in.hasRemaining()) {
            byte b = in.get();
            if (b == '\n') {
                if (!sawCr && side == MessageKind.REQUEST) {
                    throw new HttpProtocolException(400, "a LF without CR");
                }
                String text = new String(line, 0, lineLength, StandardCharsets.ISO_8859_1);
                lineLength = 0;
                sawCr = false;
                return text;
            }
            if (sawCr) {
                throw new HttpProtocolException(400, "a CR without LF");
            }
            if (b == '\r') {
                sawCr = true;
            } else {
                if (b == 0) {
                    throw new HttpProtocolException(400, "a zero byte in a line");
                }
                if (lineLength >= most) {
                    throw new HttpProtocolException(
                            at == At.START ? 414 : at == At.CHUNK_SIZE ? 400 : 431,
                            "a line is over " + most + " bytes");
                }
                if (lineLength == line.length) {
                    line = Arrays.copyOf(line, line.length * 2);
                }
                line[lineLength++] = b;
            }
        }
        return null;
    }

    private Object take(String text) throws HttpProtocolException {
        switch (at) {
            case START -> {
                if (!text.isEmpty()) {
                    headers = new Headers();
                    headerBytes = 0;
                    bodyLength = 0;
                    body = new byte[0];
                    start(text);
                    at = At.HEADERS;
                }
                return null;
            }
            case HEADERS -> {
                if (text.isEmpty()) {
                    return afterHeaders();
                }
                header(text, headers);
                return null;
            }
            case CHUNK_SIZE -> {
                chunkSize(text);
                return null;
            }
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new HttpProtocolException(400, "a chunk is longer than its size");
                }
                at = At.CHUNK_SIZE;
                return null;
            }
            default -> {
                if (text.isEmpty()) {
                    return whole();
                }
                header(text, new Headers());
                return null;
            }
        }
    }

    private void start(String text) throws HttpProtocolException {
        String[] parts = text.split(" ", side == MessageKind.REQUEST ? -1 : 3);
        if (side == MessageKind.REQUEST) {
            if (parts.length != 3 || !token(parts[0]) || parts[1].isEmpty()) {
                throw new HttpProtocolException(400, "no request line: '" + shown(text) + "'");
            }
            for (int i = 0; i < parts[1].length(); i++) {
                if (parts[1].charAt(i) <= ' ' || parts[1].charAt(i) >= 127) {
                    throw new HttpProtocolException(400, "a character in the target that must be escaped");
                }
            }
            if (parts[1].charAt(0) != '/' && !parts[1].equals("*")) {
                throw new HttpProtocolException(400, "the target is no path: '" + shown(parts[1]) + "'");
            }
            first = parts[0];
            second = parts[1];
            minor = version(parts[2]);
        } else {
            if (parts.length < 2 || parts[1].length() != 3) {
                throw new HttpProtocolException(502, "no status line: '" + shown(text) + "'");
            }
            minor = version(parts[0]);
            try {
                status = Integer.parseInt(parts[1]);
            } catch (NumberFormatException e) {
                throw new HttpProtocolException(502, "no status: '" + shown(parts[1]) + "'");
            }
            if (status < 100 || status > 599) {
                throw new HttpProtocolException(502, "no status: " + status);
            }
        }
    }

    private static int version(String s) throws HttpProtocolException {
        if (s.equals("HTTP/1.1") || s.equals("HTTP/1.0")) {
            return s.charAt(7) - '0';
        }
        throw new HttpProtocolException(s.startsWith("HTTP/") ? 505 : 400, "'" + shown(s) + "' is not HTTP/1.0 or 1.1");
    }

    private static String shown(String s) {
        String cut = s.length() > 60 ? s.substring(0, 60) + "..." : s;
        return cut.replaceAll("[^ -~]", "?");
    }

    static boolean token(String s) {
        for (int i = 0; i < s.length(); i++) {
            char c = s.charAt(i);
            boolean ok = (c >= 'a' && c <= 'z')
                    || (c >= 'A' && c <= 'Z')
                    || (c >= '0' && c <= '9')
                    || "!#$%&'*+-.^_`|~".indexOf(c) >= 0;
            if (!ok) {
                return false;
            }
        }
        return !s.isEmpty();
    }

    private void header(String text, Headers into) throws HttpProtocolException {
        headerBytes += text.length() + 2;
        if (headerBytes > limits.maxHeaderBytes() || into.size() >= limits.maxHeaders()) {
            throw new HttpProtocolException(
                    431,
                    "more than " + limits.maxHeaders() + " header lines or " + limits.maxHeaderBytes()
                            + " bytes of them");
        }
        int colon = text.indexOf(':');
        String name = colon < 0 ? text : text.substring(0, colon);
        if (colon < 0 || !token(name)) {
            throw new HttpProtocolException(400, "no header line: '" + shown(text) + "'");
        }
        String value = text.substring(colon + 1).strip();
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if ((c < ' ' && c != '\t') || c == 127) {
                throw new HttpProtocolException(400, "a control character in header " + name);
            }
        }
        into.add(name, value);
    }

    private Object afterHeaders() throws HttpProtocolException {
        boolean chunked = headers.count("Transfer-Encoding") > 0;
        int lengths = headers.count("Content-Length");
        if (side == MessageKind.REQUEST && minor == 1 && headers.count("Host") != 1) {
            throw new HttpProtocolException(400, "HTTP/1.1 asks for one Host header");
        }
        boolean none =
                side == MessageKind.RESPONSE && (bodiless || status / 100 == 1 || status == 204 || status == 304);
        if (none && status / 100 == 1) {
            // an interim answer: the real one follows
            at = At.START;
            return null;
        }
        if (chunked && (lengths > 0 || minor == 0)) {
            throw new HttpProtocolException(400, "Transfer-Encoding beside Content-Length or in HTTP/1.0");
        }
        if (chunked
                && (headers.count("Transfer-Encoding") > 1
                        || !headers.get("Transfer-Encoding")
                                .toLowerCase(Locale.ROOT)
                                .equals("chunked"))) {
            throw new HttpProtocolException(501, "Transfer-Encoding other than chunked");
        }
        if (lengths > 1) {
            throw new HttpProtocolException(400, "Content-Length stands twice");
        }
        long length = lengths == 0 ? 0 : length(headers.get("Content-Length"));
        if (none) {
            return whole();
        }
        if (length > limits.maxBodyBytes()) {
            throw new HttpProtocolException(413, "the body is over " + limits.maxBodyBytes() + " bytes");
        }
        if (chunked) {
            at = At.CHUNK_SIZE;
            return null;
        }
        if (lengths == 0 && side == MessageKind.RESPONSE) {
            at = At.UNTIL_CLOSE;
            return null;
        }
        if (length == 0) {
            return whole();
        }
        chunkLeft = length;
        at = At.BODY;
        return null;
    }

    private static long length(String s) throws HttpProtocolException {
        boolean digits = !s.isEmpty() && s.length() <= 18;
        for (int i = 0; i < s.length(); i++) {
            digits &= s.charAt(i) >= '0' && s.charAt(i) <= '9';
        }
        if (!digits) {
            throw new HttpProtocolException(400, "Content-Length is no number: '" + shown(s) + "'");
        }
        return Long.parseLong(s);
    }

    private void chunkSize(String text) throws HttpProtocolException {
        int end = text.indexOf(';');
        String size = (end < 0 ? text : text.substring(0, end)).strip();
        long n = 0;
        for (int i = 0; i < size.length(); i++) {
            int digit = size.charAt(i) < 128 ? Character.digit(size.charAt(i), 16) : -1;
            n = digit < 0 || size.length() > 8 ? -1 : n * 16 + digit;
            if (n < 0) {
                break;
            }
        }
        if (size.isEmpty() || n < 0) {
            throw new HttpProtocolException(400, "no chunk size: '" + shown(text) + "'");
        }
        if (bodyLength + n > limits.maxBodyBytes()) {
            throw new HttpProtocolException(413, "the body is over " + limits.maxBodyBytes() + " bytes");
        }
        chunkLeft = n;
        at = n == 0 ? At.TRAILERS : At.CHUNK;
    }

    private Object whole() {
        at = At.START;
        byte[] whole = bodyLength == body.length ? body : Arrays.copyOf(body, bodyLength);
        room.release(body.length - bodyLength);
        body = new byte[0];
        boolean head = bodiless;
        bodiless = false;
        return side == MessageKind.REQUEST
                ? new HttpRequest(first, second, minor, headers, whole)
                : new HttpResponse(status, minor, headers, whole, head);
    }
}

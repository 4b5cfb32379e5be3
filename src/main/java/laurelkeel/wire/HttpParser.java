package laurelkeel.wire;

import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Parses HTTP/1.x messages from bytes that arrive in any pieces (RFC 9112). It is strict where two readers could disagree on
 * where a message ends, since a connection shared by many clients would then get out of step: no bare CR, no folded lines, no
 * space before a colon, at most one Content-Length and never one beside Transfer-Encoding, and no encoding but chunked.
 *
 * <p>Not thread-safe.
 */
public final class HttpParser {
    private static final int MAX_CHUNK_LINE_BYTES = 256;

    /** The messages that a parser reads. */
    public enum MessageKind {
        /** Requests. */
        REQUEST,
        /** Responses. */
        RESPONSE
    }

    /** What the parser reads next. */
    private enum State {
        START_LINE,
        HEADERS,
        BODY,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILERS,
        BODY_UNTIL_CLOSE,
        /** Nothing: the input was invalid, or the connection has ended. */
        BROKEN
    }

    private final MessageKind kind;
    private final HttpLimits limits;
    private final HttpLineReader lines;
    private final StartLine startLine = new StartLine();
    private final HeaderBlock headerBlock;
    private final MessageFraming framing = new MessageFraming();
    private final BodyBuffer body;

    private State state = State.START_LINE;
    /** Of the body or of the chunk that is being read. */
    private long remainingBytes;
    /** Whether the next response answers a HEAD request. */
    private boolean expectsHeadResponse;

    /** Creates a parser without a budget for bodies. */
    public HttpParser(MessageKind kind, HttpLimits limits) {
        this(kind, limits, new ByteBudget(Long.MAX_VALUE));
    }

    /**
     * Creates a parser.
     *
     * @param bodyBudget for the bodies of all messages; whoever handles a message releases its body
     */
    public HttpParser(MessageKind kind, HttpLimits limits, ByteBudget bodyBudget) {
        this(kind, limits, bodyBudget, null);
    }

    private HttpParser(
            MessageKind kind, HttpLimits limits, ByteBudget bodyBudget, @Nullable Consumer<byte[]> bodyParts) {
        this.kind = kind;
        this.limits = limits;
        lines = new HttpLineReader(kind == MessageKind.RESPONSE);
        headerBlock = new HeaderBlock(limits);
        body = new BodyBuffer(limits.maxBodyBytes(), bodyBudget, bodyParts);
    }

    /**
     * Returns a parser for a response that never ends.
     *
     * @param limits the limit on the body holds for each chunk
     * @param bodyParts receives the parts of the body as they arrive
     */
    public static HttpParser streamed(HttpLimits limits, Consumer<byte[]> bodyParts) {
        return new HttpParser(MessageKind.RESPONSE, limits, new ByteBudget(0), bodyParts);
    }

    /** Returns the status of the response that is being read, once its first line has been. */
    public int status() {
        return startLine.status();
    }

    /** Releases what was read in part, since the connection has ended; later input is skipped. */
    public void close() {
        body.discard();
        state = State.BROKEN;
    }

    /** Tells that the next response answers a HEAD request: it has no body, whatever its headers say. */
    public void expectHeadResponse() {
        expectsHeadResponse = true;
    }

    /** Whether the input read so far ends between two messages. */
    public boolean idle() {
        return state == State.START_LINE && lines.isAtLineStart();
    }

    /** Whether the headers of a message are complete and its body is not. */
    public boolean inBody() {
        return switch (state) {
            case START_LINE, HEADERS, BROKEN -> false;
            case BODY, CHUNK_SIZE, CHUNK_DATA, CHUNK_END, TRAILERS, BODY_UNTIL_CLOSE -> true;
        };
    }

    /** Whether the client waits for an interim response before it sends the body. */
    public boolean wantsContinue() {
        return kind == MessageKind.REQUEST
                && inBody()
                && startLine.minorVersion() == 1
                && body.isEmpty()
                && headerBlock.headers().has("Expect", "100-continue");
    }

    /**
     * Reads until a message is complete.
     *
     * @return the message, or null where the input ends before it does; called again while input remains
     * @throws HttpProtocolException where the input is invalid; all later input is skipped
     */
    public @Nullable HttpMessage read(ByteBuffer in) throws HttpProtocolException {
        try {
            while (in.hasRemaining()) {
                HttpMessage complete = step(in);
                if (complete != null) {
                    return complete;
                }
            }
            return null;
        } catch (HttpProtocolException e) {
            state = State.BROKEN;
            throw e;
        }
    }

    /** Returns the response that the orderly end of the input completes; null for none. */
    public @Nullable HttpMessage finish() {
        return state == State.BODY_UNTIL_CLOSE ? complete() : null;
    }

    private @Nullable HttpMessage step(ByteBuffer in) throws HttpProtocolException {
        switch (state) {
            case BODY -> {
                readBodyBytes(in);
                return remainingBytes == 0 ? complete() : null;
            }
            case CHUNK_DATA -> {
                readBodyBytes(in);
                state = remainingBytes == 0 ? State.CHUNK_END : state;
                return null;
            }
            case BODY_UNTIL_CLOSE -> {
                body.append(in, in.remaining());
                return null;
            }
            case BROKEN -> {
                in.position(in.limit());
                return null;
            }
            case START_LINE, HEADERS, CHUNK_SIZE, CHUNK_END, TRAILERS -> {
                String line = readLine(in);
                return line == null ? null : handleLine(line);
            }
        }
        throw new IllegalStateException("no such state: " + state);
    }

    private void readBodyBytes(ByteBuffer in) throws HttpProtocolException {
        int count = (int) Math.min(remainingBytes, in.remaining());
        body.append(in, count);
        remainingBytes -= count;
    }

    private @Nullable String readLine(ByteBuffer in) throws HttpProtocolException {
        return switch (state) {
            case START_LINE -> lines.read(in, limits.maxLineBytes(), 414);
            case CHUNK_SIZE -> lines.read(in, MAX_CHUNK_LINE_BYTES, 400);
            default -> lines.read(in, limits.maxHeaderBytes(), 431);
        };
    }

    private @Nullable HttpMessage handleLine(String line) throws HttpProtocolException {
        boolean empty = line.isEmpty();
        switch (state) {
            case START_LINE -> {
                // empty lines before a message are skipped (RFC 9112, section 2.2)
                if (!empty) {
                    beginMessage(line);
                }
            }
            case HEADERS -> {
                if (empty) {
                    return headersComplete();
                }
                headerBlock.add(line);
            }
            case CHUNK_SIZE -> beginChunk(line);
            case CHUNK_END -> {
                if (!empty) {
                    throw new HttpProtocolException(400, "a chunk is longer than its size");
                }
                state = State.CHUNK_SIZE;
            }
            default -> {
                if (empty) {
                    return complete();
                }
                headerBlock.checkTrailer(line);
            }
        }
        return null;
    }

    private void beginMessage(String line) throws HttpProtocolException {
        headerBlock.begin();
        body.begin();
        if (kind == MessageKind.REQUEST) {
            startLine.parseRequestLine(line);
        } else {
            startLine.parseStatusLine(line);
        }
        state = State.HEADERS;
    }

    private @Nullable HttpMessage headersComplete() throws HttpProtocolException {
        Headers headers = headerBlock.headers();
        if (kind == MessageKind.REQUEST && startLine.minorVersion() == 1 && headers.count("Host") != 1) {
            throw new HttpProtocolException(400, "HTTP/1.1 asks for one Host header");
        }
        if (kind == MessageKind.RESPONSE && startLine.isInterimResponse()) {
            state = State.START_LINE;
            return null;
        }
        MessageFraming.BodyEnd bodyEnd = framing.read(headers, startLine.minorVersion());
        if (hasNoBody()) {
            return complete();
        }
        return beginBody(bodyEnd);
    }

    private boolean hasNoBody() {
        return kind == MessageKind.RESPONSE
                && (expectsHeadResponse || startLine.status() == 204 || startLine.status() == 304);
    }

    private @Nullable HttpMessage beginBody(MessageFraming.BodyEnd bodyEnd) throws HttpProtocolException {
        switch (bodyEnd) {
            case LENGTH -> {
                body.checkLimit(framing.contentLength());
                remainingBytes = framing.contentLength();
                if (remainingBytes == 0) {
                    return complete();
                }
                state = State.BODY;
            }
            case LAST_CHUNK -> state = State.CHUNK_SIZE;
            case UNSPECIFIED -> {
                if (kind == MessageKind.REQUEST) {
                    return complete();
                }
                state = State.BODY_UNTIL_CLOSE;
            }
        }
        return null;
    }

    private void beginChunk(String line) throws HttpProtocolException {
        remainingBytes = HttpSyntax.parseChunkSize(line);
        body.checkLimit(remainingBytes);
        state = remainingBytes == 0 ? State.TRAILERS : State.CHUNK_DATA;
    }

    private HttpMessage complete() {
        state = State.START_LINE;
        byte[] bytes = body.take();
        boolean answersHead = expectsHeadResponse;
        expectsHeadResponse = false;
        Headers headers = headerBlock.headers();
        return kind == MessageKind.REQUEST
                ? new HttpRequest(startLine.method(), startLine.target(), startLine.minorVersion(), headers, bytes)
                : new HttpResponse(startLine.status(), startLine.minorVersion(), headers, bytes, answersHead);
    }
}

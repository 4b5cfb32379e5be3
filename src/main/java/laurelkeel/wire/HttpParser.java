package laurelkeel.wire;

import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Parses HTTP/1.x messages from bytes that arrive in arbitrary pieces (RFC 9112). It is strict in all points in which HTTP
 * implementations could disagree about the end of a message, because responses on a connection shared by many clients would then
 * be assigned to the wrong requests. It rejects a bare CR, folded lines, a space before the colon, more than one Content-Length,
 * Content-Length together with Transfer-Encoding, and any transfer encoding other than chunked.
 *
 * <p>Not thread-safe.
 */
public final class HttpParser {
    private static final int MAX_CHUNK_LINE_BYTES = 256;

    /** The kind of messages that a parser reads. */
    public enum MessageKind {
        /** Requests. */
        REQUEST,
        /** Responses. */
        RESPONSE
    }

    /** The part of a message that the parser reads next. */
    private enum State {
        START_LINE,
        HEADERS,
        BODY,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILERS,
        BODY_UNTIL_CLOSE,
        /** Input is skipped because earlier input was invalid or the connection has ended. */
        SKIPPING
    }

    private final MessageKind kind;
    private final HttpLimits limits;
    private final HttpLineReader lines;
    private final StartLine startLine = new StartLine();
    private final HeaderBlock headerBlock;
    private final MessageFraming framing = new MessageFraming();
    private final BodyBuffer body;

    private State state = State.START_LINE;
    /** Number of bytes still to be read of the current body or chunk. */
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
     * @param bodyBudget budget for the bodies of all messages; the handler of a message releases its body
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
     * Returns a parser for a streamed response of unlimited length, whose body is not collected.
     *
     * @param limits the limit on the body applies to each chunk
     * @param bodyParts receives the parts of the body as they arrive
     */
    public static HttpParser streamed(HttpLimits limits, Consumer<byte[]> bodyParts) {
        return new HttpParser(MessageKind.RESPONSE, limits, new ByteBudget(0), bodyParts);
    }

    /** Returns the status of the response being read; valid once its status line has been read. */
    public int status() {
        return startLine.status();
    }

    /** Releases a partially read message when the connection has ended; later input is skipped. */
    public void close() {
        body.discard();
        state = State.SKIPPING;
    }

    /** Records that the next response answers a HEAD request, so that it has no body regardless of its headers. */
    public void expectHeadResponse() {
        expectsHeadResponse = true;
    }

    /** Whether no part of a further message has been read. */
    public boolean isIdle() {
        return state == State.START_LINE && lines.isAtLineStart();
    }

    /** Whether the headers of the current message are complete and its body is not. */
    public boolean inBody() {
        return switch (state) {
            case START_LINE, HEADERS, SKIPPING -> false;
            case BODY, CHUNK_SIZE, CHUNK_DATA, CHUNK_END, TRAILERS, BODY_UNTIL_CLOSE -> true;
        };
    }

    /** Whether the client waits for a 100 (Continue) response before it sends the body. */
    public boolean wantsContinue() {
        return kind == MessageKind.REQUEST
                && inBody()
                && startLine.minorVersion() == 1
                && body.isEmpty()
                && headerBlock.headers().has("Expect", "100-continue");
    }

    /**
     * Reads until a message is complete. Must be called again while input remains.
     *
     * @return the message, or null if the input ends before the message does
     * @throws HttpProtocolException if the input is invalid; all later input is skipped
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
            state = State.SKIPPING;
            throw e;
        }
    }

    /** Returns the response that is completed by the orderly end of the input; null if there is none. */
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
            case SKIPPING -> {
                in.position(in.limit());
                return null;
            }
            case START_LINE, HEADERS, CHUNK_SIZE, CHUNK_END, TRAILERS -> {
                String line = readLine(in);
                return line == null ? null : handleLine(line);
            }
        }
        throw new IllegalStateException("unexpected state: " + state);
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
        return kind == MessageKind.RESPONSE && (expectsHeadResponse || HttpResponse.excludesBody(startLine.status()));
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

package laurelkeel.wire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.filter.codec.ProtocolDecoder;
import org.apache.mina.filter.codec.ProtocolDecoderOutput;
import org.jspecify.annotations.Nullable;

/**
 * Decodes the input of one connection for the filter of {@link HttpCodec}.
 *
 * <p>Not thread-safe; called on the connection's I/O thread, except for {@link #partialSinceNanos}.
 */
final class HttpMessageDecoder implements ProtocolDecoder {
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final HttpParser parser;
    private final ByteBudget bodyBudget;
    private final boolean oneRequestAtATime;
    private final SurplusInput surplusInput = new SurplusInput();
    /** Whether all further input is skipped, because it was invalid or exceeded the expected response. */
    private boolean skipsInput;

    private boolean responseExpected;

    private volatile long partialSinceNanos;

    /** @param bodyBudget budget from which the parser reserves the bodies of its messages */
    HttpMessageDecoder(HttpParser parser, ByteBudget bodyBudget, boolean oneRequestAtATime) {
        this.parser = parser;
        this.bodyBudget = bodyBudget;
        this.oneRequestAtATime = oneRequestAtATime;
    }

    /** Returns the {@link System#nanoTime} at which a partially read message started; 0 if there is none. Thread-safe. */
    long partialSinceNanos() {
        return partialSinceNanos;
    }

    /** Returns the message that is completed by the peer's orderly end of output; null if there is none. */
    @Nullable
    HttpMessage inputClosed() {
        return skipsInput ? null : parser.finish();
    }

    @Override
    public void decode(IoSession session, IoBuffer in, ProtocolDecoderOutput out) {
        ByteBuffer bytes = in.buf();
        if (skipsInput) {
            skip(bytes);
            return;
        }
        if (HttpCodec.takeExpectedHeadResponse(session)) {
            parser.expectHeadResponse();
        }
        try {
            boolean wasInBody = readMessages(session, bytes, out);
            if (partialSinceNanos == 0 && !parser.isIdle()) {
                // the lowest bit is set because 0 means that there is none
                partialSinceNanos = System.nanoTime() | 1;
            }
            if (parser.wantsContinue() && !wasInBody) {
                session.write(new HttpCodec.Raw(CONTINUE));
            }
        } catch (HttpProtocolException e) {
            skipsInput = true;
            parser.close();
            skip(bytes);
            out.write(e);
        }
    }

    /**
     * Reads messages.
     *
     * @return whether the message that is now partially read was already in its body before these bytes
     */
    private boolean readMessages(IoSession session, ByteBuffer bytes, ProtocolDecoderOutput out)
            throws HttpProtocolException {
        boolean wasInBody = parser.inBody();
        while (bytes.hasRemaining()) {
            if (oneRequestAtATime && !isResponseExpected(session)) {
                skipUnexpected(bytes, out);
                return false;
            }
            HttpMessage message = parser.read(bytes);
            if (message != null) {
                partialSinceNanos = 0;
                responseExpected = false;
                if (oneRequestAtATime && message instanceof HttpResponse response) {
                    message = checkEnd(session, response, bytes);
                } else if (message instanceof HttpRequest request) {
                    requireRequestStart(request, bytes);
                }
                out.write(message);
                wasInBody = false;
            }
        }
        return wasInBody;
    }

    /**
     * Checks that the input behind a request that has or may have a body, if there is any, may be another request.
     *
     * @throws HttpProtocolException if it cannot, which casts doubt on the end of the request: a length that is too short or
     *     missing leaves the rest of the body there
     */
    private void requireRequestStart(HttpRequest request, ByteBuffer rest) throws HttpProtocolException {
        if (rest.hasRemaining() && HttpWriter.hasContentLength(request) && !RequestStart.isPossible(rest)) {
            bodyBudget.release(request.body().length);
            throw new HttpProtocolException(400, "the bytes behind the request are no other request");
        }
    }

    /**
     * Marks a response as the last one of its connection if there is surplus input behind it, which could be mistaken for the
     * next response.
     *
     * @param rest the rest of the read buffer, which is skipped
     * @return the response, whose end is doubtful unless the surplus confirms it
     */
    private HttpResponse checkEnd(IoSession session, HttpResponse response, ByteBuffer rest) {
        SurplusInput.Kind surplus = surplusInput.behind(session, response, rest);
        if (surplus == SurplusInput.Kind.NONE) {
            return response;
        }
        response.headers().add("Connection", "close");
        skipsInput = true;
        skip(rest);
        boolean isConfirmed = surplus == SurplusInput.Kind.COPY || response.endsWithItsHead();
        return isConfirmed ? response : response.withDoubtfulEnd();
    }

    /** Returns whether the next bytes belong to the response of a request that is in progress. */
    private boolean isResponseExpected(IoSession session) {
        responseExpected = responseExpected || HttpCodec.takeExpectedResponse(session);
        return responseExpected;
    }

    /**
     * Skips input that belongs to no request, and passes on that there was any.
     *
     * @throws HttpProtocolException if it is anything but a second copy of the last response
     */
    private void skipUnexpected(ByteBuffer bytes, ProtocolDecoderOutput out) throws HttpProtocolException {
        if (!surplusInput.isCopyOfLastResponse(bytes)) {
            throw new HttpProtocolException(502, "received bytes although no request is in progress");
        }
        skipsInput = true;
        skip(bytes);
        out.write(SurplusCopy.INSTANCE);
    }

    private static void skip(ByteBuffer bytes) {
        bytes.position(bytes.limit());
    }

    /**
     * Releases a partially read message. MINA calls this method for every end of a session, including a reset, a timeout and a
     * close by this side, none of which completes a response. MINA does not call {@link #dispose} on decoders that it does
     * not store itself.
     */
    @Override
    public void finishDecode(IoSession session, ProtocolDecoderOutput out) {
        parser.close();
    }

    @Override
    public void dispose(IoSession session) {}
}

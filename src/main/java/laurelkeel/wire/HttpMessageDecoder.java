package laurelkeel.wire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.filter.codec.ProtocolDecoder;
import org.apache.mina.filter.codec.ProtocolDecoderOutput;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decodes the input of one connection for the filter of {@link HttpCodec}.
 *
 * <p>Not thread-safe; called on the connection's I/O thread, except for {@link #partialSinceNanos}.
 */
final class HttpMessageDecoder implements ProtocolDecoder {
    private static final Logger LOG = LoggerFactory.getLogger(HttpMessageDecoder.class);
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final HttpParser parser;
    private final boolean oneRequestAtATime;
    /** Whether all further input is skipped, because it was invalid or exceeded the expected response. */
    private boolean skipsInput;

    private boolean responseExpected;
    private volatile long partialSinceNanos;

    HttpMessageDecoder(HttpParser parser, boolean oneRequestAtATime) {
        this.parser = parser;
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

    /** Reads messages; returns whether the message that is now partially read was already in its body before these bytes. */
    private boolean readMessages(IoSession session, ByteBuffer bytes, ProtocolDecoderOutput out)
            throws HttpProtocolException {
        boolean wasInBody = parser.inBody();
        while (bytes.hasRemaining()) {
            requireExpectedResponse(session);
            HttpMessage message = parser.read(bytes);
            if (message != null) {
                partialSinceNanos = 0;
                responseExpected = false;
                if (oneRequestAtATime && bytes.hasRemaining() && message instanceof HttpResponse response) {
                    logSurplus(session, response, bytes);
                    // surplus input could be mistaken for the next response, so the connection is not reused
                    message.headers().add("Connection", "close");
                    skipsInput = true;
                    skip(bytes);
                }
                out.write(message);
                wasInBody = false;
            }
        }
        return wasInBody;
    }

    private static void logSurplus(IoSession session, HttpResponse response, ByteBuffer surplus) {
        LOG.info(
                "{}: a response with a body of {} bytes is followed by {} more bytes, {}",
                session.getRemoteAddress(),
                response.body().length,
                surplus.remaining(),
                SurplusInput.isCopyOf(response, surplus) ? "a copy of it" : "which are no copy of it");
    }

    private void requireExpectedResponse(IoSession session) throws HttpProtocolException {
        if (oneRequestAtATime && !responseExpected) {
            responseExpected = HttpCodec.takeExpectedResponse(session);
            if (!responseExpected) {
                throw new HttpProtocolException(502, "received bytes although no request is in progress");
            }
        }
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

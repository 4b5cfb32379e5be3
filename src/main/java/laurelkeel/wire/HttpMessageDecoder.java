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
    private final boolean oneRequestAtATime;
    /** Set where no further input may be read: it was invalid, or more came than was requested. */
    private boolean broken;

    private boolean responseExpected;
    private volatile long partialSinceNanos;

    HttpMessageDecoder(HttpParser parser, boolean oneRequestAtATime) {
        this.parser = parser;
        this.oneRequestAtATime = oneRequestAtATime;
    }

    /** Returns since when a message has been read in part, by {@link System#nanoTime}; 0 where none is. Thread-safe. */
    long partialSinceNanos() {
        return partialSinceNanos;
    }

    /** Returns the message that the orderly end of the other side's output completes; null for none. */
    @Nullable
    HttpMessage inputClosed() {
        return broken ? null : parser.finish();
    }

    @Override
    public void decode(IoSession session, IoBuffer in, ProtocolDecoderOutput out) {
        ByteBuffer bytes = in.buf();
        if (broken) {
            skip(bytes);
            return;
        }
        if (HttpCodec.takeExpectedHeadResponse(session)) {
            parser.expectHeadResponse();
        }
        try {
            boolean wasInBody = readMessages(session, bytes, out);
            if (partialSinceNanos == 0 && !parser.idle()) {
                // never 0, which means none
                partialSinceNanos = System.nanoTime() | 1;
            }
            if (parser.wantsContinue() && !wasInBody) {
                session.write(new HttpCodec.Raw(CONTINUE));
            }
        } catch (HttpProtocolException e) {
            broken = true;
            parser.close();
            skip(bytes);
            out.write(e);
        }
    }

    /** Returns whether the message that is read in part now was in its body before these bytes. */
    private boolean readMessages(IoSession session, ByteBuffer bytes, ProtocolDecoderOutput out)
            throws HttpProtocolException {
        boolean wasInBody = parser.inBody();
        while (bytes.hasRemaining()) {
            requireExpectedResponse(session);
            HttpMessage message = parser.read(bytes);
            if (message != null) {
                partialSinceNanos = 0;
                responseExpected = false;
                if (oneRequestAtATime && bytes.hasRemaining() && message instanceof HttpResponse) {
                    // surplus input would be taken for the next response, so that this must be the last one here
                    message.headers().add("Connection", "close");
                    broken = true;
                    skip(bytes);
                }
                out.write(message);
                wasInBody = false;
            }
        }
        return wasInBody;
    }

    private void requireExpectedResponse(IoSession session) throws HttpProtocolException {
        if (oneRequestAtATime && !responseExpected) {
            responseExpected = HttpCodec.takeExpectedResponse(session);
            if (!responseExpected) {
                throw new HttpProtocolException(502, "bytes that nothing asked for");
            }
        }
    }

    private static void skip(ByteBuffer bytes) {
        bytes.position(bytes.limit());
    }

    /**
     * Releases what was read in part. MINA calls this whatever has ended the session, a reset, a timeout and a close of ours
     * among them, none of which completes a response; it does not dispose of decoders that it doesn't keep itself.
     */
    @Override
    public void finishDecode(IoSession session, ProtocolDecoderOutput out) {
        parser.close();
    }

    @Override
    public void dispose(IoSession session) {}
}

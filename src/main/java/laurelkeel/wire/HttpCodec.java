package laurelkeel.wire;

import java.util.function.BooleanSupplier;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.filter.codec.ProtocolCodecFactory;
import org.apache.mina.filter.codec.ProtocolCodecFilter;
import org.apache.mina.filter.codec.ProtocolDecoder;
import org.apache.mina.filter.codec.ProtocolEncoder;
import org.jspecify.annotations.Nullable;

/**
 * The HTTP parser and writer as a filter in MINA's filter chain. Handlers receive each complete {@link HttpMessage}, and a
 * {@link SurplusCopy} for a second copy of a response that arrives behind it. If the input is invalid, they receive a single
 * {@link HttpProtocolException}, and the rest of the input is skipped.
 *
 * <p>Thread-safe.
 */
public final class HttpCodec implements ProtocolCodecFactory {

    /** Bytes that are written unchanged: interim responses, and the output of test peers that simulate faults. */
    // never compared, so equality by array identity does no harm
    @SuppressWarnings("ArrayRecordComponent")
    public record Raw(byte[] bytes) {}

    /** A message without bytes, whose write completes on the I/O thread after all earlier writes have completed. */
    public enum FlushMarker {
        /** The only marker. */
        INSTANCE
    }

    private static final AttributeKey DECODER = new AttributeKey(HttpCodec.class, "decoder");
    private static final AttributeKey REQUEST_ANNOUNCED = new AttributeKey(HttpCodec.class, "requestAnnounced");
    private static final AttributeKey RESPONSE_EXPECTED = new AttributeKey(HttpCodec.class, "responseExpected");
    private static final AttributeKey HEAD_RESPONSE_EXPECTED =
            new AttributeKey(HttpCodec.class, "headResponseExpected");
    private static final ProtocolEncoder ENCODER = new HttpMessageEncoder();

    private final HttpParser.MessageKind kind;
    private final HttpLimits limits;
    private final ByteBudget bodyBudget;
    private final boolean oneRequestAtATime;

    private HttpCodec(
            HttpParser.MessageKind kind, HttpLimits limits, ByteBudget bodyBudget, boolean oneRequestAtATime) {
        this.kind = kind;
        this.limits = limits;
        this.bodyBudget = bodyBudget;
        this.oneRequestAtATime = oneRequestAtATime;
    }

    /** Returns the filter for connections that receive requests, without a budget for bodies. */
    public static ProtocolCodecFilter server(HttpLimits limits) {
        return server(limits, new ByteBudget(Long.MAX_VALUE));
    }

    /**
     * Returns the filter for connections that receive requests.
     *
     * @param bodyBudget budget for the bodies of all requests; the handler of a request releases its body
     */
    public static ProtocolCodecFilter server(HttpLimits limits, ByteBudget bodyBudget) {
        return new ProtocolCodecFilter(new HttpCodec(HttpParser.MessageKind.REQUEST, limits, bodyBudget, false));
    }

    /** Returns the filter for connections that receive responses, without a budget for bodies. */
    public static ProtocolCodecFilter client(HttpLimits limits) {
        return client(limits, new ByteBudget(Long.MAX_VALUE), false);
    }

    /**
     * Returns the filter for connections that have one request at a time in progress, each announced with
     * {@link #announceRequest}. Input that does not belong to a request closes the connection. The filter requires an
     * {@link UnexpectedInputProcessor}.
     *
     * @param bodyBudget budget for the bodies of all responses; the handler of a response releases its body
     */
    public static ProtocolCodecFilter client(HttpLimits limits, ByteBudget bodyBudget) {
        return client(limits, bodyBudget, true);
    }

    private static ProtocolCodecFilter client(HttpLimits limits, ByteBudget bodyBudget, boolean oneRequestAtATime) {
        return new ResponseFilter(
                new HttpCodec(HttpParser.MessageKind.RESPONSE, limits, bodyBudget, oneRequestAtATime));
    }

    /**
     * Announces that a request is about to be written; for connections with one request at a time.
     *
     * @param mayBeWritten asked on the I/O thread immediately before the first byte is written; if it returns false, the
     *     connection is closed and no byte is written
     */
    public static void announceRequest(IoSession session, BooleanSupplier mayBeWritten) {
        session.setAttribute(REQUEST_ANNOUNCED, mayBeWritten);
    }

    /** Removes the announcement of a request and returns whether it may be written; null if there was none. */
    static @Nullable BooleanSupplier takeAnnouncedRequest(IoSession session) {
        return session.removeAttribute(REQUEST_ANNOUNCED) instanceof BooleanSupplier mayBeWritten ? mayBeWritten : null;
    }

    /** Records that the following input belongs to a response; called on the I/O thread. */
    static void expectResponse(IoSession session) {
        session.setAttribute(RESPONSE_EXPECTED, true);
    }

    /** Removes the record of an expected response; returns false if there was none. */
    static boolean takeExpectedResponse(IoSession session) {
        return session.removeAttribute(RESPONSE_EXPECTED) != null;
    }

    /** Announces, before a HEAD request is written, that the next response has no body; for one request at a time. */
    public static void expectHeadResponse(IoSession session) {
        session.setAttribute(HEAD_RESPONSE_EXPECTED, true);
    }

    /** Removes the announcement of a response to a HEAD request; returns false if there was none. */
    static boolean takeExpectedHeadResponse(IoSession session) {
        return session.containsAttribute(HEAD_RESPONSE_EXPECTED)
                && session.removeAttribute(HEAD_RESPONSE_EXPECTED) != null;
    }

    /** Returns the {@link System#nanoTime} at which a partially read message started; 0 if there is none. */
    public static long partialMessageSinceNanos(IoSession session) {
        HttpMessageDecoder decoder = decoder(session);
        return decoder == null ? 0 : decoder.partialSinceNanos();
    }

    /** Returns the decoder of a session; null if nothing has been read from the session. */
    static @Nullable HttpMessageDecoder decoder(IoSession session) {
        return session.getAttribute(DECODER) instanceof HttpMessageDecoder decoder ? decoder : null;
    }

    @Override
    public ProtocolDecoder getDecoder(IoSession session) {
        // MINA calls this on every read; the decoder keeps the state of a partially read message between reads
        HttpMessageDecoder decoder = decoder(session);
        if (decoder == null) {
            decoder = new HttpMessageDecoder(new HttpParser(kind, limits, bodyBudget), bodyBudget, oneRequestAtATime);
            session.setAttribute(DECODER, decoder);
        }
        return decoder;
    }

    @Override
    public ProtocolEncoder getEncoder(IoSession session) {
        return ENCODER;
    }

    /** Completes a response without a length only if the server closes its output in an orderly way. */
    private static final class ResponseFilter extends ProtocolCodecFilter {
        ResponseFilter(HttpCodec codec) {
            super(codec);
        }

        @Override
        public void inputClosed(NextFilter next, IoSession session) throws Exception {
            HttpMessageDecoder decoder = decoder(session);
            HttpMessage completed = decoder == null ? null : decoder.inputClosed();
            if (completed != null) {
                next.messageReceived(session, completed);
            }
            next.inputClosed(session);
        }
    }
}

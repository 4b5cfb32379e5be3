package laurelkeel.wire;

import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.filter.codec.ProtocolCodecFactory;
import org.apache.mina.filter.codec.ProtocolCodecFilter;
import org.apache.mina.filter.codec.ProtocolDecoder;
import org.apache.mina.filter.codec.ProtocolEncoder;
import org.jspecify.annotations.Nullable;

/**
 * The parser and the writer as a filter of MINA's chain. Handlers receive each {@link HttpMessage}, or once an
 * {@link HttpProtocolException} where the input is invalid, after which the rest of the input is skipped.
 *
 * <p>Thread-safe.
 */
public final class HttpCodec implements ProtocolCodecFactory {

    /** Bytes that are written as they are, for test peers that misbehave. */
    // a record only by form: never compared
    @SuppressWarnings("ArrayRecordComponent")
    public record Raw(byte[] bytes) {}

    /** A message without bytes: its write completes on the I/O thread once all writes before it have. */
    public enum FlushMarker {
        /** The marker. */
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

    /** Returns the filter for connections that receive requests. */
    public static ProtocolCodecFilter server(HttpLimits limits) {
        return server(limits, new ByteBudget(Long.MAX_VALUE));
    }

    /**
     * Returns the filter for connections that receive requests.
     *
     * @param bodyBudget for the bodies of all requests; whoever handles a request releases its body
     */
    public static ProtocolCodecFilter server(HttpLimits limits, ByteBudget bodyBudget) {
        return new ProtocolCodecFilter(new HttpCodec(HttpParser.MessageKind.REQUEST, limits, bodyBudget, false));
    }

    /** Returns the filter for connections that receive responses. */
    public static ProtocolCodecFilter client(HttpLimits limits) {
        return client(limits, new ByteBudget(Long.MAX_VALUE), false);
    }

    /**
     * Returns the filter for connections that carry one request at a time, each announced with {@link #announceRequest};
     * input that belongs to none closes the connection. It needs an {@link UnexpectedInputProcessor}.
     *
     * @param bodyBudget for the bodies of all responses; whoever handles a response releases its body
     */
    public static ProtocolCodecFilter client(HttpLimits limits, ByteBudget bodyBudget) {
        return client(limits, bodyBudget, true);
    }

    private static ProtocolCodecFilter client(HttpLimits limits, ByteBudget bodyBudget, boolean oneRequestAtATime) {
        return new ResponseFilter(
                new HttpCodec(HttpParser.MessageKind.RESPONSE, limits, bodyBudget, oneRequestAtATime));
    }

    /** Tells, before a request is written, that it is the next one on a connection with one request at a time. */
    public static void announceRequest(IoSession session) {
        session.setAttribute(REQUEST_ANNOUNCED, true);
    }

    /** Returns true once for each announced request, which is then about to be written. */
    static boolean takeAnnouncedRequest(IoSession session) {
        return session.removeAttribute(REQUEST_ANNOUNCED) != null;
    }

    /** Tells that input from now on belongs to a response; on the I/O thread. */
    static void expectResponse(IoSession session) {
        session.setAttribute(RESPONSE_EXPECTED, true);
    }

    /** Returns true once for each response that is expected. */
    static boolean takeExpectedResponse(IoSession session) {
        return session.removeAttribute(RESPONSE_EXPECTED) != null;
    }

    /** Tells, before a HEAD request is written, that the next response has no body; with one request at a time. */
    public static void expectHeadResponse(IoSession session) {
        session.setAttribute(HEAD_RESPONSE_EXPECTED, true);
    }

    /** Returns true once for each response to a HEAD request that is expected. */
    static boolean takeExpectedHeadResponse(IoSession session) {
        return session.containsAttribute(HEAD_RESPONSE_EXPECTED)
                && session.removeAttribute(HEAD_RESPONSE_EXPECTED) != null;
    }

    /** Returns since when a message has been read in part, by {@link System#nanoTime}; 0 where none is. */
    public static long partialMessageSinceNanos(IoSession session) {
        HttpMessageDecoder decoder = decoder(session);
        return decoder == null ? 0 : decoder.partialSinceNanos();
    }

    /** Returns the decoder of a session; null where nothing was read on it. */
    static @Nullable HttpMessageDecoder decoder(IoSession session) {
        return session.getAttribute(DECODER) instanceof HttpMessageDecoder decoder ? decoder : null;
    }

    @Override
    public ProtocolDecoder getDecoder(IoSession session) {
        // MINA calls this at every read; a message that was read in part is kept in the decoder
        HttpMessageDecoder decoder = decoder(session);
        if (decoder == null) {
            decoder = new HttpMessageDecoder(new HttpParser(kind, limits, bodyBudget), oneRequestAtATime);
            session.setAttribute(DECODER, decoder);
        }
        return decoder;
    }

    @Override
    public ProtocolEncoder getEncoder(IoSession session) {
        return ENCODER;
    }

    /** Completes a response without a length where the server ends its output in order, and only there. */
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

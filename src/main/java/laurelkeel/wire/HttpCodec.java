package laurelkeel.wire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.filter.codec.ProtocolCodecFactory;
import org.apache.mina.filter.codec.ProtocolCodecFilter;
import org.apache.mina.filter.codec.ProtocolDecoder;
import org.apache.mina.filter.codec.ProtocolDecoderOutput;
import org.apache.mina.filter.codec.ProtocolEncoder;
import org.apache.mina.filter.codec.ProtocolEncoderOutput;

/**
 * The parser and the writer as a filter of MINA's chain. Handlers receive HttpReq or HttpAnswer, or BadHttp once where
 * the input cannot be read on, after which the rest of the connection is passed over.
 */
public final class HttpCodec implements ProtocolCodecFactory {

    /** Bytes as they are, for peers that misbehave on purpose. */
    public record Raw(byte[] bytes) {}

    /** No bytes: what is written for it is told by the thread that has the connection, once all before it has left. */
    public enum FlushMarker {
        INSTANCE
    }

    private static final AttributeKey READER = new AttributeKey(HttpCodec.class, "reader");
    private static final AttributeKey TO_ASK = new AttributeKey(HttpCodec.class, "toAsk");
    private static final AttributeKey ASKED = new AttributeKey(HttpCodec.class, "asked");
    private static final AttributeKey TO_HEAD = new AttributeKey(HttpCodec.class, "toHead");
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private static final ProtocolEncoder WRITER = new Writer();

    private final HttpParser.MessageKind side;
    private final HttpLimits limits;
    private final ByteBudget room;
    private final boolean oneByOne;

    private HttpCodec(HttpParser.MessageKind side, HttpLimits limits, ByteBudget room, boolean oneByOne) {
        this.oneByOne = oneByOne;
        this.side = side;
        this.limits = limits;
        this.room = room;
    }

    /** The filter for the side that takes requests. */
    public static ProtocolCodecFilter server(HttpLimits limits) {
        return server(limits, new ByteBudget(Long.MAX_VALUE));
    }

    /** The same, with a bound for all bodies together; who takes a message gives its body's bytes back. */
    public static ProtocolCodecFilter server(HttpLimits limits, ByteBudget room) {
        return new ProtocolCodecFilter(new HttpCodec(HttpParser.MessageKind.REQUEST, limits, room, false));
    }

    /** The filter for the side that takes answers. */
    public static ProtocolCodecFilter client(HttpLimits limits) {
        return new AnswerFilter(
                new HttpCodec(HttpParser.MessageKind.RESPONSE, limits, new ByteBudget(Long.MAX_VALUE), false));
    }

    /** For connections with one request at a time, each told by toAsk: bytes that nothing asked for end them. Needs LookingProcessor. */
    public static ProtocolCodecFilter client(HttpLimits limits, ByteBudget room) {
        return new AnswerFilter(new HttpCodec(HttpParser.MessageKind.RESPONSE, limits, room, true));
    }

    /** Said before a request is handed over to be written, where requests go one by one. */
    public static void announceRequest(IoSession session) {
        session.setAttribute(TO_ASK, true);
    }

    /** True once for each request that is to be written now. */
    static boolean takeAnnouncedRequest(IoSession session) {
        return session.removeAttribute(TO_ASK) != null;
    }

    /** What comes from here on is an answer; by the thread that reads and writes. */
    static void expectResponse(IoSession session) {
        session.setAttribute(ASKED, true);
    }

    /** Since when a message is half read, on System.nanoTime's clock; 0 where none is. On any thread. */
    public static long partialMessageSinceNanos(IoSession session) {
        return session.getAttribute(READER) instanceof Reader r ? r.halfSince : 0;
    }

    @Override
    public ProtocolDecoder getDecoder(IoSession session) {
        // MINA asks for it at every read; what is half read lives in it
        Reader reader = (Reader) session.getAttribute(READER);
        if (reader == null) {
            reader = new Reader(new HttpParser(side, limits, room), oneByOne);
            session.setAttribute(READER, reader);
        }
        return reader;
    }

    @Override
    public ProtocolEncoder getEncoder(IoSession session) {
        return WRITER;
    }

    /** Said by a client before it writes a HEAD request, on a connection with one request at a time. */
    public static void expectHeadResponse(IoSession session) {
        session.setAttribute(TO_HEAD, true);
    }

    /** An answer without a length is whole where the server ends its side in order (RFC 9112, 6.3), and only there. */
    private static final class AnswerFilter extends ProtocolCodecFilter {
        AnswerFilter(HttpCodec codec) {
            super(codec);
        }

        @Override
        public void inputClosed(NextFilter next, IoSession session) throws Exception {
            Object whole = session.getAttribute(READER) instanceof Reader reader ? reader.ended() : null;
            if (whole != null) {
                next.messageReceived(session, whole);
            }
            next.inputClosed(session);
        }
    }

    private static final class Reader implements ProtocolDecoder {
        private final HttpParser parser;
        private final boolean oneByOne;
        private boolean broken, awaits;
        volatile long halfSince;

        Reader(HttpParser parser, boolean oneByOne) {
            this.oneByOne = oneByOne;
            this.parser = parser;
        }

        /** The other side has ended its output in order: what that makes whole, or null. */
        Object ended() {
            return broken ? null : parser.finish();
        }

        @Override
        public void decode(IoSession session, IoBuffer in, ProtocolDecoderOutput out) {
            ByteBuffer bytes = in.buf();
            if (broken) {
                bytes.position(bytes.limit());
                return;
            }
            if (session.containsAttribute(TO_HEAD)) {
                session.removeAttribute(TO_HEAD);
                parser.expectHeadResponse();
            }
            try {
                boolean inBody = parser.inBody();
                while (bytes.hasRemaining()) {
                    if (oneByOne && !awaits) {
                        awaits = session.removeAttribute(ASKED) != null;
                        if (!awaits) {
                            throw new HttpProtocolException(502, "bytes that nothing asked for");
                        }
                    }
                    Object whole = parser.read(bytes);
                    if (whole != null) {
                        halfSince = 0;
                        awaits = false;
                        if (oneByOne && bytes.hasRemaining() && whole instanceof HttpResponse a) {
                            // what stands behind an answer would be taken for the next one: this is the last here
                            a.headers().add("Connection", "close");
                            broken = true;
                            bytes.position(bytes.limit());
                        }
                        out.write(whole);
                        inBody = false;
                    }
                }
                if (halfSince == 0 && !parser.idle()) {
                    halfSince = System.nanoTime() | 1;
                }
                if (parser.wantsContinue() && !inBody) {
                    session.write(new Raw(CONTINUE));
                }
            } catch (HttpProtocolException e) {
                broken = true;
                parser.close();
                bytes.position(bytes.limit());
                out.write(e);
            }
        }

        /**
         * MINA calls this whatever has ended the session: a reset, a time-out and a close of ours among them. None of
         * those makes an answer whole; see AnswerFilter.
         */
        @Override
        public void finishDecode(IoSession session, ProtocolDecoderOutput out) {
            // here, for MINA disposes only of decoders that it keeps itself
            parser.close();
        }

        @Override
        public void dispose(IoSession session) {}
    }

    private static final class Writer implements ProtocolEncoder {
        @Override
        public void encode(IoSession session, Object message, ProtocolEncoderOutput out) {
            if (message instanceof HttpRequest r) {
                out.write(HttpWriter.write(r));
            } else if (message instanceof HttpResponse a) {
                out.write(HttpWriter.write(a));
            } else if (message instanceof Raw r) {
                out.write(IoBuffer.wrap(r.bytes()));
            } else if (message != FlushMarker.INSTANCE) {
                throw new IllegalArgumentException("not an HTTP message: " + message.getClass());
            }
        }

        @Override
        public void dispose(IoSession session) {}
    }
}

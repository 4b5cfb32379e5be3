package laurelkeel.wire;

import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.filter.codec.ProtocolEncoder;
import org.apache.mina.filter.codec.ProtocolEncoderOutput;

/** Encodes messages for the filter of {@link HttpCodec}. Thread-safe. */
final class HttpMessageEncoder implements ProtocolEncoder {
    @Override
    public void encode(IoSession session, Object message, ProtocolEncoderOutput out) {
        if (message instanceof HttpRequest request) {
            out.write(HttpWriter.write(request));
        } else if (message instanceof HttpResponse response) {
            out.write(HttpWriter.write(response));
        } else if (message instanceof HttpCodec.Raw raw) {
            out.write(IoBuffer.wrap(raw.bytes()));
        } else if (message != HttpCodec.FlushMarker.INSTANCE) {
            throw new IllegalArgumentException("not an HTTP message: " + message.getClass());
        }
    }

    @Override
    public void dispose(IoSession session) {}
}

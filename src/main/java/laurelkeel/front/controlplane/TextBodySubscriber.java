package laurelkeel.front.controlplane;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Collects a response body as text, up to a maximum size: an endless body would exhaust the memory. */
final class TextBodySubscriber extends SequentialBodySubscriber {
    private static final int MAX_BODY_BYTES = LineBodySubscriber.MAX_LINE_BYTES;

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    @Override
    void consume(ByteBuffer part) throws IOException {
        if (part.remaining() > MAX_BODY_BYTES - bytes.size()) {
            throw new IOException("the response body exceeds " + MAX_BODY_BYTES + " bytes");
        }
        byte[] copy = new byte[part.remaining()];
        part.get(copy);
        bytes.writeBytes(copy);
    }

    @Override
    void onPartsConsumed(Runnable requestMore) {
        requestMore.run();
    }

    @Override
    String result() {
        return bytes.toString(StandardCharsets.UTF_8);
    }
}

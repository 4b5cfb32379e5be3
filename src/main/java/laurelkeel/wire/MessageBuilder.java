package laurelkeel.wire;

import java.util.Arrays;

/** Bytes of a message put together piece by piece; not shared between threads. */
public final class MessageBuilder {
    private byte[] bytes = new byte[256];
    private int n;

    private void room(int more) {
        if (n + more > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(n + more, 2 * bytes.length));
        }
    }

    /** Adds text as ISO-8859-1, which is what the parser read it as. */
    @SuppressWarnings("deprecation")
    public MessageBuilder text(String s) {
        room(s.length());
        // the one copy of low bytes that makes no array in between
        s.getBytes(0, s.length(), bytes, n);
        n += s.length();
        return this;
    }

    public MessageBuilder bytes(byte[] b) {
        room(b.length);
        System.arraycopy(b, 0, bytes, n, b.length);
        n += b.length;
        return this;
    }

    public MessageBuilder line(String name, String value) {
        return text(name).text(": ").text(value).text("\r\n");
    }

    /** All so far; what is added later begins anew. */
    public byte[] take() {
        byte[] out = Arrays.copyOf(bytes, n);
        n = 0;
        return out;
    }
}

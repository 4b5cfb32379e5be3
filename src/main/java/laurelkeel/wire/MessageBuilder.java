package laurelkeel.wire;

import java.util.Arrays;

/** Bytes of a message put together piece by piece; not shared between threads. */
public final class MessageBuilder {
    private byte[] appendBytes = new byte[256];
    private int n;

    private void room(int more) {
        if (n + more > appendBytes.length) {
            appendBytes = Arrays.copyOf(appendBytes, Math.max(n + more, 2 * appendBytes.length));
        }
    }

    /** Adds text as ISO-8859-1, which is what the parser read it as. */
    @SuppressWarnings("deprecation")
    public MessageBuilder appendText(String s) {
        room(s.length());
        // the one copy of low bytes that makes no array in between
        s.getBytes(0, s.length(), appendBytes, n);
        n += s.length();
        return this;
    }

    public MessageBuilder appendBytes(byte[] b) {
        room(b.length);
        System.arraycopy(b, 0, appendBytes, n, b.length);
        n += b.length;
        return this;
    }

    public MessageBuilder appendHeader(String name, String value) {
        return appendText(name).appendText(": ").appendText(value).appendText("\r\n");
    }

    /** All so far; what is added later begins anew. */
    public byte[] takeBytes() {
        byte[] out = Arrays.copyOf(appendBytes, n);
        n = 0;
        return out;
    }
}

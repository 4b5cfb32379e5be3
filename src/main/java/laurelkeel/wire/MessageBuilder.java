package laurelkeel.wire;

import java.util.Arrays;

/** Builds the bytes of a message incrementally. Not thread-safe. */
public final class MessageBuilder {
    private static final int INITIAL_BYTES = 256;

    private byte[] bytes = new byte[INITIAL_BYTES];
    private int length;

    /** Appends text in ISO-8859-1, the charset with which the parser reads it. */
    // this deprecated method is the only one that copies the low bytes of a string without an intermediate array
    @SuppressWarnings("deprecation")
    public MessageBuilder appendText(String text) {
        ensureCapacity(text.length());
        text.getBytes(0, text.length(), bytes, length);
        length += text.length();
        return this;
    }

    /** Appends bytes unchanged. */
    public MessageBuilder appendBytes(byte[] appended) {
        ensureCapacity(appended.length);
        System.arraycopy(appended, 0, bytes, length, appended.length);
        length += appended.length;
        return this;
    }

    /** Appends a header line, including its CRLF. */
    public MessageBuilder appendHeader(String name, String value) {
        return appendText(name).appendText(": ").appendText(value).appendText("\r\n");
    }

    /** Returns the appended bytes and clears the builder. */
    public byte[] takeBytes() {
        byte[] taken = Arrays.copyOf(bytes, length);
        length = 0;
        return taken;
    }

    private void ensureCapacity(int more) {
        if (length + more > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(length + more, 2 * bytes.length));
        }
    }
}

package laurelkeel.wire;

/**
 * What a peer may send, in bytes: a request or status line, all header lines of a message, their number, a body.
 * Past them: 414, 431, 431, 413.
 */
public record HttpLimits(int maxLineBytes, int maxHeaderBytes, int maxHeaders, int maxBodyBytes) {
    public static final HttpLimits DEFAULT = new HttpLimits(8 << 10, 32 << 10, 100, 1 << 20);
}

package laurelkeel.wire;

/**
 * Limits on the size of a message. Each has the status that is returned for a request that exceeds it.
 *
 * @param maxLineBytes length of the request or status line; 414
 * @param maxHeaderBytes total length of all header lines; 431
 * @param maxHeaders number of header lines; 431
 * @param maxBodyBytes length of the body; 413
 */
public record HttpLimits(int maxLineBytes, int maxHeaderBytes, int maxHeaders, int maxBodyBytes) {
    /** Default limits for peers of this project: a line of 8 KiB, 100 headers of 32 KiB in total, a body of 1 MiB. */
    public static final HttpLimits DEFAULT = new HttpLimits(8 << 10, 32 << 10, 100, 1 << 20);
}

package laurelkeel.wire;

/**
 * Limits on a message, and the statuses of those that are over them.
 *
 * @param maxLineBytes the request or status line; 414
 * @param maxHeaderBytes all header lines together; 431
 * @param maxHeaders the number of header lines; 431
 * @param maxBodyBytes the body; 413
 */
public record HttpLimits(int maxLineBytes, int maxHeaderBytes, int maxHeaders, int maxBodyBytes) {
    /** Limits for peers of this project: a line of 8 KiB, headers of 32 KiB, a body of 1 MiB. */
    public static final HttpLimits DEFAULT = new HttpLimits(8 << 10, 32 << 10, 100, 1 << 20);
}

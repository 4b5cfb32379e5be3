package laurelkeel.soak;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A node's response to a client.
 *
 * @param closesConnection whether the node closes the connection after this response
 */
record NodeResponse(int status, String body, boolean closesConnection) {
    private static final int STATUS_START = 9;
    private static final int STATUS_END = 12;

    /**
     * Reads a response; returns null if the connection ended regularly before its first byte.
     *
     * @throws ConnectionEndedException if the connection ended regularly within the response
     */
    static @Nullable NodeResponse read(InputStream in) throws IOException {
        String statusLine = HttpText.readLine(in);
        if (statusLine == null) {
            return null;
        }
        Map<String, String> headers = HttpText.readHeaders(in);
        int length = HttpText.contentLength(headers);
        byte[] body = in.readNBytes(length);
        if (body.length < length || statusLine.length() < STATUS_END) {
            throw new ConnectionEndedException("truncated response");
        }
        return new NodeResponse(
                Integer.parseInt(statusLine.substring(STATUS_START, STATUS_END)),
                new String(body, StandardCharsets.ISO_8859_1),
                "close".equalsIgnoreCase(headers.get("connection")));
    }
}

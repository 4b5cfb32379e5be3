package laurelkeel.soak;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * What a node answered.
 *
 * @param last its connection ends with it
 */
record NodeResponse(int status, String body, boolean last) {
    private static final int STATUS_FROM = 9, STATUS_TO = 12;

    /** Null where the connection ended in order before a byte of an answer. */
    static NodeResponse read(InputStream in) throws IOException {
        String first = TcpServer.line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = TcpServer.headers(in);
        int length = TcpServer.contentLength(headers);
        byte[] body = in.readNBytes(length);
        if (body.length < length || first.length() < STATUS_TO) {
            throw new IOException("an answer that stopped short");
        }
        int status = Integer.parseInt(first.substring(STATUS_FROM, STATUS_TO));
        return new NodeResponse(
                status,
                new String(body, StandardCharsets.ISO_8859_1),
                "close".equalsIgnoreCase(headers.get("connection")));
    }
}

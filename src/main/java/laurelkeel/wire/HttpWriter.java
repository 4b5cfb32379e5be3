package laurelkeel.wire;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.apache.mina.core.buffer.IoBuffer;

/** Encodes complete messages as HTTP/1.1. The end of a message never depends on a close, so the connection can be reused. */
public final class HttpWriter {
    private static final int INITIAL_HEAD_CHARS = 256;
    private static final int NO_CONTENT = 204;

    private static final Map<Integer, String> REASONS = Map.ofEntries(
            Map.entry(200, "OK"),
            Map.entry(202, "Accepted"),
            Map.entry(204, "No Content"),
            Map.entry(400, "Bad Request"),
            Map.entry(404, "Not Found"),
            Map.entry(405, "Method Not Allowed"),
            Map.entry(408, "Request Timeout"),
            Map.entry(409, "Conflict"),
            Map.entry(413, "Content Too Large"),
            Map.entry(414, "URI Too Long"),
            Map.entry(429, "Too Many Requests"),
            Map.entry(431, "Request Header Fields Too Large"),
            Map.entry(500, "Internal Server Error"),
            Map.entry(501, "Not Implemented"),
            Map.entry(502, "Bad Gateway"),
            Map.entry(503, "Service Unavailable"),
            Map.entry(504, "Gateway Timeout"),
            Map.entry(505, "HTTP Version Not Supported"));

    private HttpWriter() {}

    /** Encodes a request. */
    public static IoBuffer write(HttpRequest request) {
        StringBuilder head = new StringBuilder(INITIAL_HEAD_CHARS);
        head.append(request.method()).append(' ').append(request.target()).append(" HTTP/1.1\r\n");
        return encode(head, request, hasContentLength(request), true);
    }

    /** Encodes a response; the response to a HEAD request has the length of the body but omits the body. */
    public static IoBuffer write(HttpResponse response) {
        StringBuilder head = new StringBuilder(INITIAL_HEAD_CHARS);
        head.append(statusLine(response.status()));
        return encode(head, response, response.status() != NO_CONTENT, !response.answersHead());
    }

    static boolean hasContentLength(HttpRequest request) {
        return request.body().length > 0
                || (!request.method().equals("GET") && !request.method().equals("HEAD"));
    }

    static String statusLine(int status) {
        return "HTTP/1.1 " + status + ' ' + REASONS.getOrDefault(status, "Status") + "\r\n";
    }

    private static IoBuffer encode(
            StringBuilder head, HttpMessage message, boolean hasContentLength, boolean withBody) {
        appendHeaders(head, message.headers());
        byte[] body = message.body();
        if (hasContentLength) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        head.append("\r\n");
        byte[] headBytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        IoBuffer buffer = IoBuffer.allocate(headBytes.length + (withBody ? body.length : 0));
        buffer.put(headBytes);
        if (withBody) {
            buffer.put(body);
        }
        return buffer.flip();
    }

    private static void appendHeaders(StringBuilder head, Headers headers) {
        for (int i = 0; i < headers.size(); i++) {
            // the framing headers of a message that was read do not apply to the message being written
            if (!isFramingHeader(headers.name(i))) {
                head.append(headers.name(i))
                        .append(": ")
                        .append(headers.value(i))
                        .append("\r\n");
            }
        }
    }

    private static boolean isFramingHeader(String name) {
        return name.equalsIgnoreCase("Content-Length") || name.equalsIgnoreCase("Transfer-Encoding");
    }
}

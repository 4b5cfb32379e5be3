package laurelkeel.wire;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.apache.mina.core.buffer.IoBuffer;

/** Writes whole messages as HTTP/1.1; the length is always told, so that the connection can go on. */
public final class HttpWriter {
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

    static boolean isFramingHeader(String name) {
        return name.equalsIgnoreCase("Content-Length") || name.equalsIgnoreCase("Transfer-Encoding");
    }

    public static IoBuffer write(HttpRequest r) {
        StringBuilder head = new StringBuilder(256);
        head.append(r.method()).append(' ').append(r.target()).append(" HTTP/1.1\r\n");
        return put(head, r.headers(), r.body(), hasContentLength(r), true);
    }

    static boolean hasContentLength(HttpRequest r) {
        return r.body().length > 0 || (!r.method().equals("GET") && !r.method().equals("HEAD"));
    }

    static String statusLine(int status) {
        return "HTTP/1.1 " + status + ' ' + REASONS.getOrDefault(status, "Status") + "\r\n";
    }

    public static IoBuffer write(HttpResponse a) {
        StringBuilder head = new StringBuilder(256);
        head.append(statusLine(a.status()));
        return put(head, a.headers(), a.body(), a.status() != 204, !a.answersHead());
    }

    private static IoBuffer put(StringBuilder head, Headers headers, byte[] body, boolean length, boolean withBody) {
        for (int i = 0; i < headers.size(); i++) {
            // the reader's framing ended with the reader: this message has its own
            if (!isFramingHeader(headers.name(i))) {
                head.append(headers.name(i))
                        .append(": ")
                        .append(headers.value(i))
                        .append("\r\n");
            }
        }
        if (length) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        head.append("\r\n");
        byte[] top = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        IoBuffer out = IoBuffer.allocate(top.length + (withBody ? body.length : 0));
        out.put(top);
        if (withBody) {
            out.put(body);
        }
        return out.flip();
    }
}

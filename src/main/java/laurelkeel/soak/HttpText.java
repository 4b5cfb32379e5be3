package laurelkeel.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Reads and writes HTTP/1.1 on blocking sockets, without validation that would hide protocol errors of the peer. */
final class HttpText {
    /** The status line and headers of a chunked response. */
    static final String CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static final int MAX_LINE_LENGTH = 16 << 10;

    private HttpText() {}

    /** Reads one line and returns it without its line break; null at the end of the input. */
    static @Nullable String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                int end = line.length();
                return end > 0 && line.charAt(end - 1) == '\r' ? line.substring(0, end - 1) : line.toString();
            }
            if (line.length() > MAX_LINE_LENGTH) {
                throw new IOException("line is too long");
            }
            line.append((char) next);
        }
        return null;
    }

    /** Reads header lines up to the empty line; returns the values by header name in lower case. */
    static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            if (colon > 0) {
                String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
                headers.put(name, line.substring(colon + 1).strip());
            }
        }
        return headers;
    }

    /** Returns the content length that these headers state; 0 if they state none. */
    static int contentLength(Map<String, String> headers) {
        return Integer.parseInt(headers.getOrDefault("content-length", "0"));
    }

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Writes one chunk of a response that began with {@link #CHUNKED_HEAD}. */
    static void writeChunk(Socket socket, String text) throws IOException {
        write(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }
}

package reviewpeers;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Reads HTTP/1.1 messages from a blocking stream. */
final class Http {
    private Http() {}

    /** A message: its first line, its headers by lower-case name, and its body. */
    record Message(String start, Map<String, String> headers, byte[] body) {
        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        boolean closes() {
            return header("connection").equalsIgnoreCase("close");
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    /** Returns the next message; null at the end of the input. */
    static Message read(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).strip());
        }
        if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
            return new Message(start, headers, chunks(in));
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("cut body");
        }
        return new Message(start, headers, body);
    }

    private static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = line(in);
            if (size == null) {
                throw new EOFException("cut chunk");
            }
            int length = Integer.parseInt(size.strip(), 16);
            body.write(in.readNBytes(length));
            line(in);
            if (length == 0) {
                return body.toByteArray();
            }
        }
    }

    /** Returns the next line without its end; null at the end of the input. */
    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                return bytes.toString(StandardCharsets.ISO_8859_1);
            }
            if (next != '\r') {
                bytes.write(next);
            }
        }
        return null;
    }
}

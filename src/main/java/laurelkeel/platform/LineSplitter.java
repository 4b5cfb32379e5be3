package laurelkeel.platform;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Cuts bytes that come in any pieces into lines, each to a bound. */
final class LineSplitter {

    interface Each {
        void line(String text) throws MalformedMessageException;
    }

    private final int most;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    LineSplitter(int most) {
        this.most = most;
    }

    void take(byte[] bytes, Each each) throws MalformedMessageException {
        for (byte b : bytes) {
            if (b == '\n') {
                String text = line.toString(StandardCharsets.UTF_8);
                line.reset();
                each.line(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
            } else if (line.size() >= most) {
                throw new MalformedMessageException("a line of over " + most + " bytes");
            } else {
                line.write(b);
            }
        }
    }
}

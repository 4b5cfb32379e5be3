package laurelkeel.platform;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Cuts bytes that come in any pieces into lines, each to a bound. */
final class Cutter {

    interface Each {
        void line(String text) throws Spoilt;
    }

    private final int most;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    Cutter(int most) {
        this.most = most;
    }

    void take(byte[] bytes, Each each) throws Spoilt {
        for (byte b : bytes) {
            if (b == '\n') {
                String text = line.toString(StandardCharsets.UTF_8);
                line.reset();
                each.line(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
            } else if (line.size() >= most) {
                throw new Spoilt("a line of over " + most + " bytes");
            } else {
                line.write(b);
            }
        }
    }
}

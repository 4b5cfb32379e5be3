package laurelkeel.wire;

/** Collects the header lines of the message being read and enforces the limits on them. Not thread-safe. */
final class HeaderBlock {
    private static final int LINE_END_BYTES = 2;

    private final HttpLimits limits;
    private Headers headers = new Headers();
    private int bytes;

    HeaderBlock(HttpLimits limits) {
        this.limits = limits;
    }

    /** Starts the headers of the next message. */
    void begin() {
        headers = new Headers();
        bytes = 0;
    }

    Headers headers() {
        return headers;
    }

    /** Parses a header line and adds it. */
    void add(String line) throws HttpProtocolException {
        add(line, headers);
    }

    /** Parses a trailer line and drops it; its bytes count towards the limit on header bytes. */
    void checkTrailer(String line) throws HttpProtocolException {
        add(line, new Headers());
    }

    private void add(String line, Headers target) throws HttpProtocolException {
        bytes += line.length() + LINE_END_BYTES;
        if (bytes > limits.maxHeaderBytes() || target.size() >= limits.maxHeaders()) {
            throw new HttpProtocolException(
                    431,
                    "more than " + limits.maxHeaders() + " header lines or " + limits.maxHeaderBytes()
                            + " bytes of them");
        }
        int colon = line.indexOf(':');
        String name = colon < 0 ? line : line.substring(0, colon);
        if (colon < 0 || !HttpSyntax.isToken(name)) {
            throw new HttpProtocolException(400, "no header line: '" + HttpSyntax.quote(line) + "'");
        }
        String value = line.substring(colon + 1).strip();
        checkValue(name, value);
        target.add(name, value);
    }

    private static void checkValue(String name, String value) throws HttpProtocolException {
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if ((c < ' ' && c != '\t') || c == 127) {
                throw new HttpProtocolException(400, "a control character in header " + name);
            }
        }
    }
}

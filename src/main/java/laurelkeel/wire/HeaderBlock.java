package laurelkeel.wire;

/** The header lines of the message that is being read, within their limits. Not thread-safe. */
final class HeaderBlock {
    private static final int LINE_END_BYTES = 2;

    private final HttpLimits limits;
    private Headers headers = new Headers();
    private int bytes;

    HeaderBlock(HttpLimits limits) {
        this.limits = limits;
    }

    /** Begins the headers of the next message. */
    void begin() {
        headers = new Headers();
        bytes = 0;
    }

    Headers headers() {
        return headers;
    }

    /** Adds a header line. */
    void add(String line) throws HttpProtocolException {
        add(line, headers);
    }

    /** Checks the line of a trailer, which counts against the limit on header bytes and is dropped. */
    void checkTrailer(String line) throws HttpProtocolException {
        add(line, new Headers());
    }

    private void add(String line, Headers into) throws HttpProtocolException {
        bytes += line.length() + LINE_END_BYTES;
        if (bytes > limits.maxHeaderBytes() || into.size() >= limits.maxHeaders()) {
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
        into.add(name, value);
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

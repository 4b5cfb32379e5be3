package laurelkeel.wire;

/**
 * The request line or status line of the message being read (RFC 9112, sections 3 and 4). Reused for all messages of a
 * connection; not thread-safe.
 */
final class StartLine {
    private static final int STATUS_DIGITS = 3;
    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;

    private String method = "";
    private String target = "";
    private int status;
    private int minorVersion;

    String method() {
        return method;
    }

    String target() {
        return target;
    }

    int status() {
        return status;
    }

    int minorVersion() {
        return minorVersion;
    }

    /** Whether this is the status line of an interim (1xx) response, which is followed by the final response. */
    boolean isInterimResponse() {
        return status / 100 == 1;
    }

    void parseRequestLine(String line) throws HttpProtocolException {
        String[] parts = line.split(" ", -1);
        if (parts.length != 3 || !HttpSyntax.isToken(parts[0]) || parts[1].isEmpty()) {
            throw new HttpProtocolException(400, "no request line: '" + HttpSyntax.quote(line) + "'");
        }
        checkTarget(parts[1]);
        method = parts[0];
        target = parts[1];
        minorVersion = HttpSyntax.parseMinorVersion(parts[2]);
    }

    private static void checkTarget(String target) throws HttpProtocolException {
        for (int i = 0; i < target.length(); i++) {
            if (target.charAt(i) <= ' ' || target.charAt(i) >= 127) {
                throw new HttpProtocolException(400, "a character in the target that must be escaped");
            }
        }
        if (target.charAt(0) != '/' && !target.equals("*")) {
            throw new HttpProtocolException(400, "the target is no path: '" + HttpSyntax.quote(target) + "'");
        }
    }

    void parseStatusLine(String line) throws HttpProtocolException {
        String[] parts = line.split(" ", 3);
        if (parts.length < 2 || parts[1].length() != STATUS_DIGITS) {
            throw new HttpProtocolException(502, "invalid status line: '" + HttpSyntax.quote(line) + "'");
        }
        minorVersion = HttpSyntax.parseMinorVersion(parts[0]);
        try {
            status = Integer.parseInt(parts[1]);
        } catch (NumberFormatException e) {
            throw new HttpProtocolException(502, "invalid status: '" + HttpSyntax.quote(parts[1]) + "'");
        }
        if (status < MIN_STATUS || status > MAX_STATUS) {
            throw new HttpProtocolException(502, "invalid status: " + status);
        }
    }
}

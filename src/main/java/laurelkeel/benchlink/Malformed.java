package laurelkeel.benchlink;

/** Input that is not the wire's. */
public final class Malformed extends RuntimeException {
    private static final long serialVersionUID = 1L;

    Malformed(long line, String field, String what) {
        super("input line " + line + ", " + field + ": " + what);
    }
}

package laurelkeel.options;

/** A setting that cannot be read; path names it. */
public final class InvalidOptionException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final String path, reason;

    public InvalidOptionException(String path, String what) {
        super(path + ": " + what);
        this.path = path;
        this.reason = what;
    }

    public String path() {
        return path;
    }

    public String reason() {
        return reason;
    }
}

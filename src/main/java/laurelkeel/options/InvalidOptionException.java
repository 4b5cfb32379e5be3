package laurelkeel.options;

/** A setting that cannot be read; path names it. */
public final class InvalidOptionException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final String path, what;

    public InvalidOptionException(String path, String what) {
        super(path + ": " + what);
        this.path = path;
        this.what = what;
    }

    public String path() {
        return path;
    }

    public String what() {
        return what;
    }
}

package laurelkeel.options;

/** Thrown when the value of an option cannot be parsed; the message names the option and the reason. */
public final class InvalidOptionException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String path;
    private final String reason;

    /**
     * Creates an exception.
     *
     * @param path the path of the option
     * @param reason what is wrong with its value
     */
    public InvalidOptionException(String path, String reason) {
        super(path + ": " + reason);
        this.path = path;
        this.reason = reason;
    }

    /** Returns the path of the option, for example {@code services.0.effect}. */
    public String path() {
        return path;
    }

    /** Returns what is wrong with the value. */
    public String reason() {
        return reason;
    }
}

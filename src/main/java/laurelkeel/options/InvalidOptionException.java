package laurelkeel.options;

/** Signals an option whose value cannot be parsed; it names the option and the reason. */
public final class InvalidOptionException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String path;
    private final String reason;

    /**
     * Creates one.
     *
     * @param path of the option
     * @param reason what is wrong with its value
     */
    public InvalidOptionException(String path, String reason) {
        super(path + ": " + reason);
        this.path = path;
        this.reason = reason;
    }

    /** The option's path, as services.0.effect. */
    public String path() {
        return path;
    }

    /** What is wrong with its value. */
    public String reason() {
        return reason;
    }
}

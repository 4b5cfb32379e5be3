package laurelkeel.platform;

/** A configuration that cannot be followed; the message names the field or the file, and what is wrong. */
public final class InvalidConfigurationException extends Exception {
    private static final long serialVersionUID = 1;

    private final boolean readable;

    InvalidConfigurationException(String message) {
        this(message, true);
    }

    InvalidConfigurationException(String message, boolean readable) {
        super(message);
        this.readable = readable;
    }

    /** False where the system did not hand the file over: its content may be sound. */
    public boolean readable() {
        return readable;
    }
}

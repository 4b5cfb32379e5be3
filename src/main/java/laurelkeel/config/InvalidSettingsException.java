package laurelkeel.config;

import java.util.List;

/** Thrown when a settings file is invalid; the message has one line per error. */
public final class InvalidSettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<String> errors;

    /**
     * Creates the exception.
     *
     * @param errors each with the file, the line if it is known, and the remedy
     */
    public InvalidSettingsException(List<String> errors) {
        super(String.join("\n", errors));
        this.errors = List.copyOf(errors);
    }

    /** Returns the errors in the order of their lines. */
    public List<String> errors() {
        return errors;
    }
}

package laurelkeel.config;

import java.util.List;

/** Signals a settings file that cannot be used; the message has one line an error. */
public final class InvalidSettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<String> errors;

    /**
     * Creates the exception.
     *
     * @param errors each with the file, the line where there is one, and the remedy
     */
    public InvalidSettingsException(List<String> errors) {
        super(String.join("\n", errors));
        this.errors = List.copyOf(errors);
    }

    /** The errors in the order of their lines. */
    public List<String> errors() {
        return errors;
    }
}

package laurelkeel.config;

import java.util.List;

/** A settings file that cannot be used; the message has one line a fault. */
public final class InvalidSettingsException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<String> errors;

    public InvalidSettingsException(List<String> faults) {
        super(String.join("\n", faults));
        this.errors = List.copyOf(faults);
    }

    public List<String> errors() {
        return errors;
    }
}

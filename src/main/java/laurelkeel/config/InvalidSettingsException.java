package laurelkeel.config;

import java.util.List;

/** A settings file that cannot be used; the message has one line a fault. */
public final class InvalidSettingsException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<String> faults;

    public InvalidSettingsException(List<String> faults) {
        super(String.join("\n", faults));
        this.faults = List.copyOf(faults);
    }

    public List<String> faults() {
        return faults;
    }
}

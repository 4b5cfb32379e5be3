package laurelkeel.front.controlplane;

/** Signals a message of the control plane that cannot be followed; its text names the field and the reason. */
public final class InvalidMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidMessageException(String reason) {
        super(reason);
    }
}

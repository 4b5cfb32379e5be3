package laurelkeel.front.controlplane;

/** Thrown when a control plane message is invalid; its text names the field and the reason. */
public final class InvalidMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidMessageException(String reason) {
        super(reason);
    }
}

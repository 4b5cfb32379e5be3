package laurelkeel.simulatoradapter;

/** Thrown if input violates the simulator's protocol; the message names the line, the field and the reason. */
public final class MalformedSimulatorMessageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedSimulatorMessageException(long lineNumber, String field, String reason) {
        super("input line " + lineNumber + ", " + field + ": " + reason);
    }
}

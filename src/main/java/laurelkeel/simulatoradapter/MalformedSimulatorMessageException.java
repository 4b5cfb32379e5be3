package laurelkeel.simulatoradapter;

/** Input that is not the wire's. */
public final class MalformedSimulatorMessageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedSimulatorMessageException(long line, String field, String what) {
        super("input line " + line + ", " + field + ": " + what);
    }
}

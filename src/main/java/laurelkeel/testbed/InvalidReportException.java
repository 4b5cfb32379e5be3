package laurelkeel.testbed;

/** Signals a node's report with missing or mistyped properties. */
final class InvalidReportException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidReportException(String message) {
        super(message);
    }
}

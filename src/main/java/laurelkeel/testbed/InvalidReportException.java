package laurelkeel.testbed;

/** Signals a node's report that lacks what a report has. */
final class InvalidReportException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidReportException(String message) {
        super(message);
    }
}

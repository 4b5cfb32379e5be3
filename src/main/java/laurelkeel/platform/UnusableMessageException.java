package laurelkeel.platform;

/** Signals an invalid or stale message from a platform service; its connection cannot be used any further. */
abstract sealed class UnusableMessageException extends Exception
        permits MalformedMessageException, StaleEndpointListException {
    private static final long serialVersionUID = 1L;

    UnusableMessageException(String message) {
        // without a stack trace, since a faulty peer may cause these exceptions at a high rate
        super(message, null, false, false);
    }
}

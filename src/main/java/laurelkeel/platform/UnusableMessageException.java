package laurelkeel.platform;

/** Signals a message of a platform service that cannot be followed; its connection is of no further use. */
abstract sealed class UnusableMessageException extends Exception
        permits MalformedMessageException, StaleEndpointListException {
    private static final long serialVersionUID = 1L;

    UnusableMessageException(String message) {
        // without a stack trace: a broken peer may cause it at any rate
        super(message, null, false, false);
    }
}

package laurelkeel.platform;

/** Signals a complete endpoint list that is older than the known one. */
final class StaleEndpointListException extends UnusableMessageException {
    private static final long serialVersionUID = 1L;

    StaleEndpointListException(long version, long currentVersion) {
        super("a complete list of version " + version + " is older than the known version " + currentVersion);
    }
}

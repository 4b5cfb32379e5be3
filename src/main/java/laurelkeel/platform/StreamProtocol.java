package laurelkeel.platform;

/** What a {@link ReconnectingStream} has to know of the protocol that it carries. */
interface StreamProtocol {
    /** The service's name in log lines. */
    String serviceName();

    /** The request that begins a connection. */
    byte[] openingRequest();

    /** A reader for a new connection. */
    StreamReader newReader();

    /** A connection without a complete message for so long has failed. */
    long silenceTimeoutTicks();
}

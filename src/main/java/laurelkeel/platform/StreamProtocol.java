package laurelkeel.platform;

/** The protocol-specific part of a {@link ReconnectingStream}. */
interface StreamProtocol {
    /** Returns the name of the service for log lines. */
    String serviceName();

    /** Returns the request that is sent first on a new connection. */
    byte[] openingRequest();

    /** Returns a reader for a new connection. */
    StreamReader newReader();

    /** Returns whether a new connection receives again what the connection before it could not use. */
    default boolean resendsMessages() {
        return false;
    }

    /** Returns how long a connection may receive no complete message before it counts as failed. */
    long silenceTimeoutTicks();
}

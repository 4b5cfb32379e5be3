package laurelkeel.platform;

/** Reads the bytes of one connection of a {@link ReconnectingStream}. */
@FunctionalInterface
interface StreamReader {
    /**
     * Reads bytes in the order of their arrival.
     *
     * @param arrivedAtTicks when they were read from the socket
     * @return whether a complete message was received; false where all that has come is part of one
     * @throws UnusableMessageException where the connection is of no further use
     */
    boolean read(byte[] bytes, long arrivedAtTicks) throws UnusableMessageException;
}

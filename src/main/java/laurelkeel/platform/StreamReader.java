package laurelkeel.platform;

/** Reads the bytes of one connection of a {@link ReconnectingStream}. */
@FunctionalInterface
interface StreamReader {
    /**
     * Reads bytes; called in the order of their arrival.
     *
     * @param arrivedAtTicks when the bytes were read from the socket
     * @return whether the bytes completed a message; false if they are only part of one
     * @throws UnusableMessageException if the connection cannot be used any further
     */
    boolean read(byte[] bytes, long arrivedAtTicks) throws UnusableMessageException;
}

package laurelkeel.platform;

/** Receives what happens on one {@link ServiceConnection}; called on the event loop's thread. */
interface ConnectionListener {
    /**
     * Bytes have arrived.
     *
     * @param arrivedAtTicks when they were read from the socket
     */
    void onBytes(byte[] bytes, long arrivedAtTicks);

    /**
     * The connection has ended or could not be opened. Called once, and not after {@link ServiceConnection#close}.
     *
     * @param written whether bytes of this node may have been sent
     */
    void onClosed(boolean written);
}

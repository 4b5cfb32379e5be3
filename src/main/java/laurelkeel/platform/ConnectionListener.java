package laurelkeel.platform;

/** Receives the events of one {@link ServiceConnection}; called on the event loop's thread. */
interface ConnectionListener {
    /**
     * Called when bytes have been received.
     *
     * @param arrivedAtTicks when the bytes were read from the socket
     */
    void onBytes(byte[] bytes, long arrivedAtTicks);

    /**
     * Called once when the connection has ended or could not be opened, but not after {@link ServiceConnection#close}.
     *
     * @param written whether bytes may have been sent to the service
     */
    void onClosed(boolean written);
}

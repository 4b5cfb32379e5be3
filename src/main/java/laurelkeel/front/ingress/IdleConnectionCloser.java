package laurelkeel.front.ingress;

/**
 * Closes connections that seem to owe nothing. Such a connection is no longer read, and then checked by its I/O thread: a
 * request that was read meanwhile would be lost with the close, while one that stays unread is retried elsewhere by its client.
 *
 * <p>Thread-safe.
 */
final class IdleConnectionCloser {
    private final ClientConnectionTable connections;

    IdleConnectionCloser(ClientConnectionTable connections) {
        this.connections = connections;
    }

    /**
     * Closes a connection unless a request was read on it since the reason was seen, answered by now or not; then it is in
     * use, and is read on.
     *
     * @param requestsRead how many requests had been read when the reason was seen
     * @param evenWithPartialRequest whether to close it although a request has been read in part
     */
    void closeIfUnused(
            ClientConnection connection, int requestsRead, CloseReason reason, boolean evenWithPartialRequest) {
        connection.suspendReadingThen(() -> {
            boolean unused = connection.owesNothing()
                    && connection.requestsRead() == requestsRead
                    && (evenWithPartialRequest || !connection.hasPartialRequest());
            if (unused) {
                connection.recordCloseReason(reason);
                connection.closeOnFlush();
            } else {
                connection.abandonClose();
                connections.reclaimSlot(connection);
                connection.resumeReading();
            }
        });
    }

    /** Closes all connections that have no request in progress or read in part. */
    void closeAllIdle(CloseReason reason) {
        connections.forEach(connection -> {
            int requestsRead = connection.requestsRead();
            if (connection.owesNothing() && !connection.isClosePending()) {
                closeIfUnused(connection, requestsRead, reason, false);
            }
        });
    }
}

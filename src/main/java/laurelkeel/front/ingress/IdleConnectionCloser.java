package laurelkeel.front.ingress;

/**
 * Closes connections that appear to be unused, without losing a request. It lets the I/O thread decide, which checks whether a
 * request has been read in the meantime: the close would lose such a request, whereas a client retries a request that was never
 * read on another connection.
 *
 * <p>Thread-safe.
 */
final class IdleConnectionCloser {
    private final ClientConnectionTable connections;

    IdleConnectionCloser(ClientConnectionTable connections) {
        this.connections = connections;
    }

    /**
     * Closes a connection, unless a request has been read from it since the reason to close it was found. In that case the
     * connection is in use, whether the request is answered already or not.
     *
     * @param requestsRead number of requests that had been read when the reason was found
     * @param evenWithPartialRequest whether to close the connection even if a request has been read partially
     */
    void closeIfUnused(
            ClientConnection connection, int requestsRead, CloseReason reason, boolean evenWithPartialRequest) {
        connection.decideAboutClose(() -> {
            boolean unused = connection.awaitsNextRequest()
                    && connection.input().decodedRequests() == requestsRead
                    && (evenWithPartialRequest || !connection.hasPartialRequest());
            if (unused) {
                connection.recordCloseReason(reason);
                connection.closeUnused();
            } else {
                connections.reclaimSlot(connection);
            }
        });
    }

    /** Closes all connections that have neither a request in progress nor a partially read one. */
    void closeAllIdle(CloseReason reason) {
        connections.forEach(connection -> {
            int requestsRead = connection.input().decodedRequests();
            if (connection.awaitsNextRequest() && !connection.isClosePending()) {
                closeIfUnused(connection, requestsRead, reason, false);
            }
        });
    }
}

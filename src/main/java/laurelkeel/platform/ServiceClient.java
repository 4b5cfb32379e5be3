package laurelkeel.platform;

import java.net.InetSocketAddress;

/**
 * A client of one of the platform's services.
 *
 * <p>Lifecycle: a client opens no stream before it is started. It may be closed at any time, even before the start, and
 * cannot be started after that. Not thread-safe; called on the event loop's thread.
 */
interface ServiceClient {
    /** Opens the stream; has no effect if the client has been started or closed. */
    void start();

    /** Moves to another address of the service without losing messages. */
    void moveTo(InetSocketAddress address);

    /** Returns whether the service has sent its initial state or confirmation. */
    boolean hasReported();

    /** Closes all connections; has no effect if the client is closed. */
    void close();
}

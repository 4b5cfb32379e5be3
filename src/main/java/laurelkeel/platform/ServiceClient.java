package laurelkeel.platform;

import java.net.InetSocketAddress;

/**
 * A client of one of the platform's services.
 *
 * <p>Lifecycle: it is complete when constructed, and opens no stream before it starts. It may be closed at any time,
 * also before its start, and does not start after that. Not thread-safe; called on the event loop's thread.
 */
interface ServiceClient {
    /** Opens its stream; has no effect where it has started or is closed. */
    void start();

    /** Follows the service to another address, without losing messages. */
    void moveTo(InetSocketAddress address);

    /** Whether the service has sent what it has to send first. */
    boolean hasReported();

    /** Closes all its connections; has no effect where it is closed. */
    void close();
}

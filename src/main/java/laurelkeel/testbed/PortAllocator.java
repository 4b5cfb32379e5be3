package laurelkeel.testbed;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates loopback ports that stay free while their owner is down, because they lie below the range from which the
 * operating system assigns ports to outgoing connections. Thread-safe.
 */
public final class PortAllocator {
    private static final int FIRST_PORT = 20_000;
    private static final int PORT_COUNT = 10_000;
    /** Distributes the processes of a host over the range. */
    private static final long PROCESS_STRIDE = 97;

    private static final AtomicInteger NEXT_OFFSET =
            new AtomicInteger((int) (ProcessHandle.current().pid() * PROCESS_STRIDE % PORT_COUNT));

    private PortAllocator() {}

    /**
     * Returns a port on which no process listens.
     *
     * @throws IOException if the whole range is in use
     */
    public static int allocate() throws IOException {
        for (int i = 0; i < PORT_COUNT; i++) {
            int port = FIRST_PORT + Math.floorMod(NEXT_OFFSET.getAndIncrement(), PORT_COUNT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (IOException ignored) {
                // in use: try the next one
            }
        }
        throw new IOException("no free port from " + FIRST_PORT + " to " + (FIRST_PORT + PORT_COUNT));
    }
}

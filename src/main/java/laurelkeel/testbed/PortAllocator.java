package laurelkeel.testbed;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Free ports that stay free while their owner is down: below the range from which the system takes ports for
 * connections that go out.
 */
public final class PortAllocator {
    private static final int FIRST = 20_000;
    private static final int COUNT = 10_000;
    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 97 % COUNT));

    private PortAllocator() {}

    public static int allocate() throws IOException {
        for (int i = 0; i < COUNT; i++) {
            int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
            try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return s.getLocalPort();
            } catch (IOException e) {
                // taken: the next one
            }
        }
        throw new IOException("no free port from " + FIRST + " to " + (FIRST + COUNT));
    }
}

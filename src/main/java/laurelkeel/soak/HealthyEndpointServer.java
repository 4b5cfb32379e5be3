package laurelkeel.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Random;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Any number of sound endpoints behind one listener: all of 127.0.0.0/8 leads to it, and each endpoint has an address of
 * its own. An endpoint serves a limited number of requests at a time, and the others wait there. Thread-safe.
 */
final class EndpointFleet extends TcpServer {
    private static final int MIN_SERVICE_MILLIS = 5;
    private static final int SERVICE_SPREAD_MILLIS = 30;
    /** The second byte of the first endpoint's address; the third and fourth byte take so many values. */
    private static final int FIRST_SECOND_BYTE = 64;

    private static final int THIRD_BYTE_VALUES = 128;
    private static final int FOURTH_BYTE_VALUES = 200;

    private final Semaphore[] permitsByEndpoint;
    private final Random random;
    private final AtomicInteger connections = new AtomicInteger();

    /**
     * Creates a fleet.
     *
     * @param endpoints how many addresses there are
     * @param concurrencyEach requests that an endpoint serves at a time
     */
    EndpointFleet(int endpoints, int concurrencyEach, long seed) throws IOException {
        super(new InetSocketAddress(InetAddress.getByName("0.0.0.0"), 0));
        permitsByEndpoint = new Semaphore[endpoints];
        for (int i = 0; i < endpoints; i++) {
            permitsByEndpoint[i] = new Semaphore(concurrencyEach);
        }
        random = new Random(seed);
    }

    /** The address of an endpoint, with the port. */
    String addressOf(int endpoint) {
        int second = FIRST_SECOND_BYTE + endpoint / FOURTH_BYTE_VALUES / THIRD_BYTE_VALUES;
        int third = endpoint / FOURTH_BYTE_VALUES % THIRD_BYTE_VALUES;
        int fourth = 1 + endpoint % FOURTH_BYTE_VALUES;
        return "127." + second + "." + third + "." + fourth + ":"
                + socketAddress().getPort();
    }

    private static int endpointAt(InetAddress address) {
        byte[] bytes = address.getAddress();
        int thirds = (bytes[1] - FIRST_SECOND_BYTE) * THIRD_BYTE_VALUES + bytes[2];
        return thirds * FOURTH_BYTE_VALUES + (bytes[3] & 0xff) - 1;
    }

    /** Connections made to endpoints since the start. */
    int connections() {
        return connections.get();
    }

    private synchronized int drawServiceMillis() {
        return MIN_SERVICE_MILLIS + random.nextInt(SERVICE_SPREAD_MILLIS);
    }

    @Override
    void serve(Socket socket, InputStream in) throws IOException, InterruptedException {
        connections.incrementAndGet();
        Semaphore permits = permitsByEndpoint[endpointAt(socket.getLocalAddress())];
        while (readRequest(in)) {
            permits.acquire();
            try {
                Thread.sleep(drawServiceMillis());
            } finally {
                permits.release();
            }
            HttpText.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        }
    }

    /** Reads one request; false where no complete one comes any more. */
    private static boolean readRequest(InputStream in) throws IOException {
        String requestLine = HttpText.readLine(in);
        int length = HttpText.contentLength(HttpText.readHeaders(in));
        return requestLine != null && in.readNBytes(length).length == length;
    }
}

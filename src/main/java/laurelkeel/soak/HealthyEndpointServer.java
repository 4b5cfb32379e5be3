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
 * Any number of endpoints without faults behind one listener. The listener receives connections to all of 127.0.0.0/8, and
 * each endpoint has an address of its own. An endpoint serves a limited number of requests at a time; further requests
 * queue at the endpoint. Thread-safe.
 */
final class HealthyEndpointServer extends TcpServer {
    private static final int MIN_SERVICE_MILLIS = 5;
    private static final int SERVICE_SPREAD_MILLIS = 30;
    /** The second byte of the first endpoint's address. */
    private static final int FIRST_SECOND_BYTE = 64;

    private static final int THIRD_BYTE_VALUES = 128;
    private static final int FOURTH_BYTE_VALUES = 200;

    private final Semaphore[] permitsByEndpoint;
    private final Random random;
    private final AtomicInteger connections = new AtomicInteger();

    /**
     * Creates the server.
     *
     * @param endpoints the number of endpoints, each with an address
     * @param concurrencyPerEndpoint the number of requests that one endpoint serves at a time
     */
    HealthyEndpointServer(int endpoints, int concurrencyPerEndpoint, long seed) throws IOException {
        super(new InetSocketAddress(InetAddress.getByName("0.0.0.0"), 0));
        permitsByEndpoint = new Semaphore[endpoints];
        for (int i = 0; i < endpoints; i++) {
            permitsByEndpoint[i] = new Semaphore(concurrencyPerEndpoint);
        }
        random = new Random(seed);
    }

    /** Returns the address and port of an endpoint. */
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

    /** Returns the number of connections accepted since the start. */
    int connections() {
        return connections.get();
    }

    private synchronized int nextServiceMillis() {
        return MIN_SERVICE_MILLIS + random.nextInt(SERVICE_SPREAD_MILLIS);
    }

    @Override
    void serve(Socket socket, InputStream in) throws IOException, InterruptedException {
        connections.incrementAndGet();
        Semaphore permits = permitsByEndpoint[endpointAt(socket.getLocalAddress())];
        while (readRequest(in)) {
            permits.acquire();
            try {
                Thread.sleep(nextServiceMillis());
            } finally {
                permits.release();
            }
            HttpText.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        }
    }

    /** Reads one request; returns false if the connection ends before a complete one. */
    private static boolean readRequest(InputStream in) throws IOException {
        String requestLine = HttpText.readLine(in);
        int length = HttpText.contentLength(HttpText.readHeaders(in));
        return requestLine != null && in.readNBytes(length).length == length;
    }
}

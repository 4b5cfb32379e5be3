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
 * Any number of sound machines behind one listener: all of 127.0.0.0/8 leads to it, and each machine has an address of its
 * own. A machine serves so many requests at a time, and the others wait there.
 */
final class MachineFleet extends TcpServer {
    private static final int SHORTEST_MS = 5;
    private static final int SPREAD_MS = 30;
    /** Addresses are counted by three bytes; the first one holds so many values. */
    private static final int FIRST = 64, SECOND_VALUES = 128, THIRD_VALUES = 200;

    private final Semaphore[] places;
    private final Random random;
    private final AtomicInteger connections = new AtomicInteger();

    /**
     * @param machines how many there are addresses of
     * @param placesEach requests that a machine serves at a time
     */
    MachineFleet(int machines, int placesEach, long seed) throws IOException {
        super(new InetSocketAddress(InetAddress.getByName("0.0.0.0"), 0));
        places = new Semaphore[machines];
        for (int i = 0; i < machines; i++) {
            places[i] = new Semaphore(placesEach);
        }
        random = new Random(seed);
    }

    /** Where a machine is reached. */
    String addressOf(int machine) {
        int second = machine / THIRD_VALUES % SECOND_VALUES;
        int first = FIRST + machine / THIRD_VALUES / SECOND_VALUES;
        return "127." + first + "." + second + "." + (1 + machine % THIRD_VALUES) + ":" + at().getPort();
    }

    private static int machineAt(InetAddress address) {
        byte[] bytes = address.getAddress();
        return ((bytes[1] - FIRST) * SECOND_VALUES + bytes[2]) * THIRD_VALUES + (bytes[3] & 0xff) - 1;
    }

    /** Connections made to machines since the start. */
    int connections() {
        return connections.get();
    }

    private synchronized int serviceMs() {
        return SHORTEST_MS + random.nextInt(SPREAD_MS);
    }

    @Override
    void serve(Socket socket, InputStream in) throws IOException, InterruptedException {
        connections.incrementAndGet();
        Semaphore place = places[machineAt(socket.getLocalAddress())];
        while (readRequest(in)) {
            place.acquire();
            try {
                Thread.sleep(serviceMs());
            } finally {
                place.release();
            }
            write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        }
    }

    /** False where none comes any more. */
    private static boolean readRequest(InputStream in) throws IOException {
        String first = line(in);
        int length = contentLength(headers(in));
        return first != null && in.readNBytes(length).length == length;
    }
}

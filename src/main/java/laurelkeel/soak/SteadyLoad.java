package laurelkeel.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.jspecify.annotations.Nullable;

/** Clients that send requests to one node at a constant rate, each over one reused connection; thread-safe. */
final class SteadyLoad {
    private static final int PARTITION_KEYS = 5_000;
    private static final double TIMEOUT_SECONDS = 2.0;
    private static final int MAX_WAIT_MILLIS = 5_000;
    private static final int HTTP_OK = 200;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int SEEDS_PER_RUN = 1_000;

    private final int port;
    private final long endNanos;
    private final List<Thread> clients = new ArrayList<>();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    /** Milliseconds from the time at which each request was due to its response. */
    private final Histogram responseMillis = new ConcurrentHistogram(2);

    private SteadyLoad(int port, long endNanos) {
        this.port = port;
        this.endNanos = endNanos;
    }

    /**
     * Starts the clients.
     *
     * @param requestsPerSecond the total rate of all clients
     */
    static SteadyLoad start(int port, int clients, int requestsPerSecond, int seconds, long seed) {
        long now = System.nanoTime();
        SteadyLoad load = new SteadyLoad(port, now + seconds * NANOS_PER_SECOND);
        long intervalNanos = clients * NANOS_PER_SECOND / requestsPerSecond;
        for (int i = 0; i < clients; i++) {
            Random random = new Random(seed * SEEDS_PER_RUN + i);
            long firstNanos = now + i * intervalNanos / clients;
            load.clients.add(
                    DaemonThreads.start("client", load.new Client("c" + i, random, firstNanos, intervalNanos)));
        }
        return load;
    }

    /** Waits until all clients have finished. */
    void join() throws InterruptedException {
        for (Thread client : clients) {
            client.join();
        }
    }

    /** Returns the number of requests that clients sent or failed to send. */
    int sent() {
        return sent.get();
    }

    /** Returns the number of requests with a complete response of status 200. */
    int served() {
        return served.get();
    }

    /** Returns how many milliseconds responses took that were not slower than this share of all, from the time they were due. */
    long responseMillis(double percentile) {
        return responseMillis.getValueAtPercentile(percentile);
    }

    /** One client; used by its own thread only. */
    private final class Client implements DaemonThreads.Task {
        private final String name;
        private final Random random;
        private final long intervalNanos;
        private long dueNanos;
        private int nextNumber;
        private @Nullable Connection connection;

        Client(String name, Random random, long firstNanos, long intervalNanos) {
            this.name = name;
            this.random = random;
            this.dueNanos = firstNanos;
            this.intervalNanos = intervalNanos;
        }

        @Override
        public void run() throws IOException, InterruptedException {
            while (dueNanos < endNanos) {
                TimeUnit.NANOSECONDS.sleep(dueNanos - System.nanoTime());
                send();
                responseMillis.recordValue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - dueNanos));
                dueNanos += intervalNanos;
            }
            close();
        }

        private void send() throws IOException {
            sent.incrementAndGet();
            try {
                if (connection == null) {
                    connection = Connection.open(port);
                }
                HttpText.write(connection.socket, nextRequest().text());
                NodeResponse response = NodeResponse.read(connection.in);
                if (response != null && response.status() == HTTP_OK) {
                    served.incrementAndGet();
                }
                if (response == null || response.closesConnection()) {
                    close();
                }
            } catch (IOException e) {
                close();
            }
        }

        private SoakRequest nextRequest() {
            String id = name + "-" + nextNumber++;
            boolean idempotent = random.nextBoolean();
            String partitionKey = "k" + random.nextInt(PARTITION_KEYS);
            return new SoakRequest(id, idempotent, partitionKey, TIMEOUT_SECONDS, idempotent ? "" : "body");
        }

        private void close() throws IOException {
            if (connection != null) {
                connection.socket.close();
                connection = null;
            }
        }
    }

    private record Connection(Socket socket, InputStream in) {
        static Connection open(int port) throws IOException {
            Socket socket = new Socket();
            try {
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(MAX_WAIT_MILLIS);
                return new Connection(socket, new BufferedInputStream(socket.getInputStream()));
            } catch (IOException e) {
                socket.close();
                throw e;
            }
        }
    }
}

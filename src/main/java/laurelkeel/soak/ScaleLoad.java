package laurelkeel.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that ask one node at a steady rate, each over one connection for as long as it stays open. */
final class ScaleLoad {
    private static final int KEYS = 5_000;
    private static final double SECONDS_LEFT = 2.0;
    private static final int OK = 200;

    private final int port;
    private final long endNanos;
    private final List<Thread> clients = new ArrayList<>();
    private final AtomicInteger asked = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();

    private ScaleLoad(int port, long endNanos) {
        this.port = port;
        this.endNanos = endNanos;
    }

    /**
     * Starts clients.
     *
     * @param perSecond requests of all of them together
     */
    static ScaleLoad start(int port, int clients, int perSecond, int seconds, long seed) {
        long now = System.nanoTime();
        ScaleLoad load = new ScaleLoad(port, now + seconds * 1_000_000_000L);
        long interval = clients * 1_000_000_000L / perSecond;
        for (int i = 0; i < clients; i++) {
            Client client =
                    load.new Client("c" + i, new Random(seed * 1_000 + i), now + i * interval / clients, interval);
            load.clients.add(TcpServer.daemon("client", client));
        }
        return load;
    }

    void join() throws InterruptedException {
        for (Thread client : clients) {
            client.join();
        }
    }

    int asked() {
        return asked.get();
    }

    /** Requests that a machine's whole answer came back for. */
    int served() {
        return served.get();
    }

    private final class Client implements TcpServer.Task {
        private final String name;
        private final Random random;
        private final long interval;
        private long next;
        private int number;
        private Socket socket;
        private InputStream in;

        Client(String name, Random random, long first, long interval) {
            this.name = name;
            this.random = random;
            this.next = first;
            this.interval = interval;
        }

        @Override
        public void run() throws IOException, InterruptedException {
            while (next < endNanos) {
                long wait = next - System.nanoTime();
                if (wait > 0) {
                    Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
                }
                next += interval;
                ask();
            }
            close();
        }

        private void ask() throws IOException {
            asked.incrementAndGet();
            try {
                if (socket == null) {
                    socket = new Socket();
                    socket.connect(new InetSocketAddress("127.0.0.1", port));
                    socket.setTcpNoDelay(true);
                    in = new BufferedInputStream(socket.getInputStream());
                }
                TcpServer.write(socket, request());
                readAnswer();
            } catch (IOException e) {
                close();
            }
        }

        private String request() {
            String id = name + "-" + number++;
            boolean safe = random.nextBoolean();
            return SoakClient.request(id, safe, "k" + random.nextInt(KEYS), SECONDS_LEFT, safe ? "" : "body");
        }

        private void readAnswer() throws IOException {
            NodeResponse reply = NodeResponse.read(in);
            if (reply != null && reply.status() == OK) {
                served.incrementAndGet();
            }
            if (reply == null || reply.last()) {
                close();
            }
        }

        private void close() throws IOException {
            if (socket != null) {
                socket.close();
                socket = null;
            }
        }
    }
}

package reviewpeers;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Eight machines that hold only so many connections; one of them is slow with a change and fails it shortly before the others
 * forget the change's mark. The repeat waits in the front node for a connection.
 */
final class LateRepeatCase extends Case {
    private static final int MACHINES = 8;
    /** One of eight machines is bad. */
    private static final String BAD = "s-0";
    private static final int TRIALS = 8;
    /** What is left for one of 100 front nodes of the 400 connections that a machine of one core holds. */
    private static final int CONNECTIONS = 4;
    /** Lookups beyond the connections that the machines hold, so that all of these are busy. */
    private static final int MORE_LOOKUPS = 10;
    private static final int LOOKUP_MILLIS = 300;
    private static final int CHANGE_MILLIS = 600;
    private static final double FAILS_AFTER_SECONDS = 4.880;
    private static final double OTHERS_BUSY_FROM_SECONDS = 4.790;
    /** The time for which machines remember a change, and the slack of a time limit. */
    private static final double BOUND_SECONDS = 5 + 0.05;

    /** When the first attempt of each change arrived. */
    private final Map<String, Double> firstArrivals = new ConcurrentHashMap<>();
    /** The change of the present trial whose first attempt came to the bad machine; null if none has. */
    private volatile String atBad;

    private volatile CountDownLatch reachedBad = new CountDownLatch(1);
    private volatile boolean judging;
    private int trials;
    private final AtomicInteger changes = new AtomicInteger();
    /** Connections of the node that all machines hold together. */
    private final AtomicInteger held = new AtomicInteger();
    private final List<String> breaks = new ArrayList<>();

    public static void main(String[] args) throws Exception {
        main(new LateRepeatCase(), args);
    }

    @Override
    boolean holds() throws Exception {
        List<Small> machines = new ArrayList<>();
        for (int i = 0; i < MACHINES; i++) {
            machines.add(new Small("s-" + i));
        }
        List<Discovery.Entry> entries = new ArrayList<>();
        for (Small machine : machines) {
            entries.add(new Discovery.Entry(machine.id, "127.0.0.1:" + machine.listener.getLocalPort(), "dub-north", "std-1", 0,
                    "active", 1.0, 0, 41));
        }
        Discovery discovery = new Discovery(41, entries, false);
        Control control = new Control(record, "41 2 Healthy 1.0");
        discovery.start();
        control.start();
        node.start(discovery.address(), control.address(), "41 2 Healthy 1.0", discovery.list());
        require(node.awaitReady(30), "the front node was not ready in 30 s");
        // opens all connections that the machines hold, and lets the node learn that changes take a varying time
        for (int round = 0; round < 4; round++) {
            burst(MACHINES * CONNECTIONS, "lookup", "w" + round + "-");
        }
        for (int round = 0; round < 6; round++) {
            burst(MACHINES, "change", "v" + round + "-");
        }
        for (int round = 0; round < 4; round++) {
            burst(MACHINES * CONNECTIONS, "lookup", "x" + round + "-");
        }
        for (Small machine : machines) {
            machine.stopAccepting();
        }
        for (int trial = 0; trial < TRIALS; trial++) {
            trial("t" + trial);
        }
        record.say("%d of %d repeats arrived over %.2f s after the first attempt: %s", breaks.size(), trials, BOUND_SECONDS, breaks);
        require(trials > 0, "no change came to the bad machine first");
        require(served.get() > 100, "too few requests were served");
        return breaks.isEmpty();
    }

    /** Returns times that are spread as an exponential, the same in each run. */
    private static long varied(int meanMillis, int number) {
        double share = (number * 7 % 16 + 0.5) / 16;
        return (long) Math.min(1_800, -meanMillis * Math.log(1 - share));
    }

    private void burst(int count, String route, String prefix) throws InterruptedException {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String id = prefix + i;
            clients.add(ask(route, id));
        }
        for (Thread client : clients) {
            client.join();
        }
    }

    private Thread ask(String route, String id) {
        return Peer.thread("client", () -> {
            try (Client client = new Client(node.port())) {
                one(client, route, id, "k" + id, route.equals("change") ? "8.000" : "2.500");
            }
        });
    }

    private void trial(String id) throws Exception {
        atBad = null;
        reachedBad = new CountDownLatch(1);
        judging = true;
        List<Thread> changes = new ArrayList<>();
        for (int i = 0; i < MACHINES; i++) {
            changes.add(ask("change", id + "-" + i));
        }
        boolean reached = reachedBad.await(1, TimeUnit.SECONDS);
        judging = false;
        if (reached) {
            trials++;
            sleepUntil(firstArrivals.get(atBad) + OTHERS_BUSY_FROM_SECONDS);
            burst(held.get() + MORE_LOOKUPS, "lookup", id + "-l");
        }
        for (Thread change : changes) {
            change.join();
        }
    }

    private void sleepUntil(double second) throws InterruptedException {
        Thread.sleep(Math.max(0, (long) ((second - record.seconds()) * 1_000)));
    }

    /** A machine with a limited number of connections; further ones never come up. */
    private final class Small {
        private final String id;
        private final ServerSocket listener = new ServerSocket();
        private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
        private volatile boolean accepting = true;

        Small(String id) throws IOException {
            this.id = id;
            listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1);
            listener.setSoTimeout(50);
            Peer.thread("accept", () -> {
                while (accepting) {
                    try {
                        Socket socket = listener.accept();
                        socket.setTcpNoDelay(true);
                        connections.add(socket);
                        Peer.thread("serve", () -> serve(socket));
                    } catch (java.net.SocketTimeoutException none) {
                        // looks whether to accept on
                    }
                }
            });
        }

        /** From now on holds no further connection: the queue of its listener is filled by connections of its own. */
        void stopAccepting() throws Exception {
            accepting = false;
            Thread.sleep(150);
            for (Socket surplus : connections.stream().skip(CONNECTIONS).toList()) {
                surplus.close();
            }
            Thread.sleep(150);
            record.line("machine %s holds %d connections of the node and no more", id, connections.size());
            held.addAndGet(connections.size());
            for (int i = 0; i < 4; i++) {
                SocketChannel filler = SocketChannel.open();
                filler.configureBlocking(false);
                filler.connect(listener.getLocalSocketAddress());
                Thread.sleep(20);
            }
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = socket.getInputStream();
                for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                    String correlationId = request.header("x-correlation-id");
                    double now = record.seconds();
                    Double first = firstArrivals.putIfAbsent(correlationId, now);
                    record.line("machine %s runs %s %s%s", id, request.start(), correlationId,
                            first == null ? "" : ", again after %.4f s".formatted(now - first));
                    boolean change = request.start().startsWith("POST");
                    if (change && first != null && now > first + BOUND_SECONDS) {
                        synchronized (breaks) {
                            breaks.add("%s after %.4f s".formatted(correlationId, now - first));
                        }
                    }
                    boolean fails = change && first == null && judging && id.equals(BAD) && atBad == null;
                    if (fails) {
                        atBad = correlationId;
                        reachedBad.countDown();
                    }
                    if (trouble && fails) {
                        sleepUntil(now + FAILS_AFTER_SECONDS);
                        record.line("machine %s fails %s", id, correlationId);
                        Peer.write(socket, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
                    } else {
                        Thread.sleep(change ? varied(CHANGE_MILLIS, changes.getAndIncrement()) : LOOKUP_MILLIS);
                        Peer.write(socket, Machine.ok(correlationId));
                    }
                }
            } finally {
                connections.remove(socket);
            }
        }
    }
}

package reviewpeers;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.Channels;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The whole list of 3,200 machines, indented; a front node starts with an older list. */
final class WholeListCase extends Case {
    private static final int MACHINES = 3_200;
    /** Told at the latest 6 s after the process could reach discovery; then the grace for drains and the slack of a time limit. */
    private static final double BOUND_SECONDS = 6 + 1 + 0.05;

    private final Set<String> leaving = ConcurrentHashMap.newKeySet();
    private final AtomicInteger breaks = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        main(new WholeListCase(), args);
    }

    @Override
    boolean holds() throws Exception {
        List<Discovery.Entry> known = startMachines();
        List<Discovery.Entry> now = new ArrayList<>();
        for (int i = 0; i < known.size(); i++) {
            boolean leaves = i % 3 == 0;
            now.add(leaves ? known.get(i).with("leaving") : known.get(i));
            if (leaves) {
                leaving.add(known.get(i).id());
            }
        }
        Discovery discovery = new Discovery(57, now, trouble);
        Control control = new Control(record, "41 2 Healthy 1.0");
        discovery.start();
        control.start();
        record.say("the whole list has %d machines and %d bytes", MACHINES, discovery.list().length());
        node.start(discovery.address(), control.address(), "41 2 Healthy 1.0", Discovery.json(41, true, known, false));
        require(node.awaitReady(30), "the front node was not ready in 30 s");
        startClients(10, 60, "lookup", 300, "2.500");
        Thread.sleep(20_000);
        ending = true;
        require(node.isAlive(), "the front node has ended");
        require(served.get() > 100, "too few requests were served");
        record.say("%d attempts began at machines that leave, over %.2f s after the start", breaks.get(), BOUND_SECONDS);
        return breaks.get() == 0;
    }

    /** Opens a listener for each machine, and serves what arrives there. */
    private List<Discovery.Entry> startMachines() throws Exception {
        Random random = new Random(1);
        Selector selector = Selector.open();
        List<Discovery.Entry> entries = new ArrayList<>();
        for (int i = 0; i < MACHINES; i++) {
            String host = "127.101." + (100 + i / 100) + "." + (100 + i % 100);
            ServerSocketChannel listener = ServerSocketChannel.open();
            listener.bind(new InetSocketAddress(host, 0), 64);
            listener.configureBlocking(false);
            String id = "s-%08x".formatted(random.nextInt());
            listener.register(selector, SelectionKey.OP_ACCEPT, id);
            int port = ((InetSocketAddress) listener.getLocalAddress()).getPort();
            String zone = new String[] {"dub-north", "dub-west", "cork-main"}[i % 3];
            double weight = 0.85 + 0.25 * random.nextDouble();
            entries.add(new Discovery.Entry(id, host + ":" + port, zone, i % 5 < 3 ? "std-1" : "slow-1", i / 4, "active", weight,
                    System.currentTimeMillis() - 3_600_000 - random.nextInt(60_000_000), 41));
        }
        Peer.thread("machines", () -> {
            while (true) {
                selector.select();
                for (Iterator<SelectionKey> keys = selector.selectedKeys().iterator(); keys.hasNext(); ) {
                    SelectionKey key = keys.next();
                    keys.remove();
                    SocketChannel connection = ((ServerSocketChannel) key.channel()).accept();
                    if (connection != null) {
                        Peer.thread("machine", () -> serve((String) key.attachment(), connection));
                    }
                }
            }
        });
        return entries;
    }

    private void serve(String id, SocketChannel connection) throws IOException, InterruptedException {
        var in = Channels.newInputStream(connection);
        try (connection) {
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                String correlationId = request.header("x-correlation-id");
                double sinceStart = record.seconds() - node.startedAt();
                boolean broken = leaving.contains(id) && sinceStart > BOUND_SECONDS;
                if (broken) {
                    breaks.incrementAndGet();
                }
                record.line("machine %s%s runs %s%s", id, leaving.contains(id) ? " (leaving)" : "", correlationId,
                        broken ? ": BREAK" : "");
                Thread.sleep(20);
                connection.write(java.nio.ByteBuffer.wrap(Machine.ok(correlationId).getBytes()));
            }
        }
    }
}

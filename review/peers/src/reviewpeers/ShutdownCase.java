package reviewpeers;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** A planned restart beside machines that hang: SIGTERM, and SIGKILL when the page allows it. */
final class ShutdownCase extends Case {
    private static final int MACHINES = 15;
    private static final int HANGING = 3;
    private static final int UPLOADS = 40;
    /** New connections keep coming for 0.2 to 0.4 s after SIGTERM; these open at this time. */
    private static final int NEW_CONNECTIONS_MILLIS = 250;
    /** The longest deadline, counted as 3 s where it is longer, and 0.7 s. */
    private static final double KILL_AFTER_SECONDS = 3.7;
    /** What came later than this after SIGTERM is owed an answer before SIGKILL. */
    private static final double OWED_AFTER_SECONDS = 0.7;

    private volatile boolean hangs;
    private volatile double terminatedAt = Double.MAX_VALUE;
    private final List<String> lost = new ArrayList<>();

    public static void main(String[] args) throws Exception {
        main(new ShutdownCase(), args);
    }

    @Override
    boolean holds() throws Exception {
        List<Machine> machines = new ArrayList<>();
        for (int i = 0; i < MACHINES; i++) {
            machines.add(new Busy("s-" + i, i < HANGING));
            machines.get(i).start();
        }
        Discovery discovery = new Discovery(41, entries(machines, 41), false);
        Control control = new Control(record, "41 2 Healthy 1.0");
        discovery.start();
        control.start();
        node.start(discovery.address(), control.address(), "41 2 Healthy 1.0", discovery.list());
        require(node.awaitReady(30), "the front node was not ready in 30 s");
        startClients(16, 100, "change", 300, "8.000");
        startClients(8, 100, "lookup", 300, "2.500");
        Thread.sleep(8_000);
        require(served.get() > 100, "too few requests were served");
        hangs = trouble;
        record.line("from now on %d machines %s", HANGING, hangs ? "hang" : "would hang");
        terminatedAt = record.seconds();
        node.signal("TERM");
        ending = true;
        Thread.sleep(NEW_CONNECTIONS_MILLIS);
        List<Thread> uploads = new ArrayList<>();
        for (int i = 0; i < UPLOADS; i++) {
            String id = "u" + i;
            uploads.add(Peer.thread("upload", () -> upload(id)));
        }
        while (node.isAlive() && record.seconds() < terminatedAt + KILL_AFTER_SECONDS) {
            Thread.sleep(2);
        }
        record.line(node.isAlive() ? "SIGKILL to the front node" : "the front node has ended");
        node.kill();
        for (Thread upload : uploads) {
            upload.join();
        }
        record.say("%d requests that came over %.1f s after SIGTERM got no answer: %s", lost.size(), OWED_AFTER_SECONDS, lost);
        return lost.isEmpty();
    }

    /** Sends a change whose body of 60,000 bytes takes 0.6 s on the way. */
    private void upload(String id) throws Exception {
        try (Socket socket = new Socket("127.0.0.1", node.port())) {
            socket.setTcpNoDelay(true);
            Peer.write(socket, Client.request("change", id, "k" + id, "8.000").replace("Content-Length: 5\r\n\r\nvalue", "Content-Length: 60000\r\n\r\n"));
            for (int piece = 0; piece < 30; piece++) {
                Thread.sleep(20);
                Peer.write(socket, "x".repeat(2_000));
            }
            double sentAt = record.seconds();
            asked.incrementAndGet();
            record.line("client has sent %s, %.3f s after SIGTERM", id, sentAt - terminatedAt);
            String outcome;
            try {
                Http.Message answer = Http.read(socket.getInputStream());
                outcome = answer == null ? "closed" : "" + answer.status();
                if (answer != null) {
                    served.incrementAndGet();
                }
            } catch (IOException e) {
                outcome = "closed";
            }
            record.line("client gets %s for %s", outcome, id);
            if (outcome.equals("closed") && sentAt > terminatedAt + OWED_AFTER_SECONDS) {
                synchronized (lost) {
                    lost.add(id);
                }
            }
        }
    }

    private final class Busy extends Machine {
        private final boolean mayHang;
        private final Random random = new Random(id.hashCode());

        Busy(String id, boolean mayHang) throws IOException {
            super(id, ShutdownCase.this.record);
            this.mayHang = mayHang;
        }

        @Override
        void answer(Socket socket, Http.Message request, String correlationId) throws Exception {
            if (mayHang && hangs) {
                socket.getInputStream().read();
                return;
            }
            double mean = request.start().startsWith("POST") ? 300 : 110;
            Thread.sleep((long) Math.min(1_500, -mean * Math.log(1 - random.nextDouble())));
            Peer.write(socket, ok(correlationId));
        }
    }
}

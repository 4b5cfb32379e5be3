package reviewpeers;

import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A new configuration moves discovery to an agent whose list runs some seconds behind what the node has been told. */
final class LaggingListCase extends Case {
    private static final int MACHINES = 12;
    private static final int BEHIND_MILLIS = 9_500;
    /** The grace for drains and the slack of a time limit. */
    private static final double BOUND_SECONDS = 1 + 0.05;

    private final Set<String> leaving = ConcurrentHashMap.newKeySet();
    private final AtomicInteger breaks = new AtomicInteger();
    private volatile double toldAt = Double.MAX_VALUE;

    public static void main(String[] args) throws Exception {
        main(new LaggingListCase(), args);
    }

    @Override
    boolean holds() throws Exception {
        List<Machine> machines = new ArrayList<>();
        for (int i = 0; i < MACHINES; i++) {
            machines.add(new Watched("s-" + i));
            machines.get(i).start();
        }
        List<Discovery.Entry> all = entries(machines, 41);
        Discovery first = new Discovery(41, all, false);
        Discovery second = new Discovery(41, all, false);
        Control control = new Control(record, "41 2 Healthy 1.0");
        first.start();
        second.start();
        control.start();
        node.start(first.address(), control.address(), "41 2 Healthy 1.0", first.list());
        require(node.awaitReady(30), "the front node was not ready in 30 s");
        startClients(12, 30, "lookup", 300, "2.500");
        Thread.sleep(3_000);

        List<Discovery.Entry> changed = new ArrayList<>();
        for (int i = 0; i < MACHINES / 3; i++) {
            changed.add(all.get(i).with("leaving"));
            leaving.add(all.get(i).id());
        }
        first.change(changed);
        toldAt = record.seconds();
        record.line("the node is told that these leave: %s", leaving);
        Peer.thread("behind", () -> {
            Thread.sleep(trouble ? BEHIND_MILLIS : 200);
            second.change(changed);
            record.line("the second agent has the same list now");
        });
        Thread.sleep(1_500);
        node.configure(second.address(), control.address());
        node.signal("HUP");
        first.retire();
        Thread.sleep(12_000);
        ending = true;
        require(node.isAlive(), "the front node has ended");
        record.say("%d attempts began at machines that leave, over %.2f s after the node was told so", breaks.get(), BOUND_SECONDS);
        return breaks.get() == 0;
    }

    private final class Watched extends Machine {
        Watched(String id) throws java.io.IOException {
            super(id, LaggingListCase.this.record);
        }

        @Override
        void serve(Socket socket, InputStream in) throws Exception {
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                String correlationId = request.header("x-correlation-id");
                boolean broken = leaving.contains(id) && record.seconds() > toldAt + BOUND_SECONDS;
                if (broken) {
                    breaks.incrementAndGet();
                }
                record.line("machine %s%s runs %s%s", id, leaving.contains(id) ? " (leaving)" : "", correlationId,
                        broken ? ": BREAK" : "");
                answer(socket, request, correlationId);
            }
        }
    }
}

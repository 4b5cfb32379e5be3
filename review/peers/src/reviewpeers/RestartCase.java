package reviewpeers;

import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A front node is killed and starts again with the list that it last had; machines have left meanwhile; discovery is slow. */
final class RestartCase extends Case {
    private static final int MACHINES = 12;
    private static final int SLOW_MILLIS = 2_000;
    /** The grace for drains, counted from the first moment of the new process, and the slack of a time limit. */
    private static final double BOUND_SECONDS = 1 + 0.05;

    private final Set<String> leaving = ConcurrentHashMap.newKeySet();
    private final AtomicInteger breaks = new AtomicInteger();
    private volatile boolean restarted;

    public static void main(String[] args) throws Exception {
        main(new RestartCase(), args);
    }

    @Override
    boolean holds() throws Exception {
        List<Machine> machines = new ArrayList<>();
        for (int i = 0; i < MACHINES; i++) {
            machines.add(new Watched("s-%d".formatted(i), record));
            machines.get(i).start();
        }
        List<Discovery.Entry> all = entries(machines, 41);
        Discovery discovery = new Discovery(41, all, false);
        Control control = new Control(record, "41 2 Healthy 1.0");
        discovery.start();
        control.start();
        String known = discovery.list();
        node.start(discovery.address(), control.address(), "41 2 Healthy 1.0", known);
        require(node.awaitReady(30), "the front node was not ready in 30 s");
        startClients(12, 30, "lookup", 300, "2.500");
        Thread.sleep(4_000);
        require(served.get() > 100, "too few requests were served");

        node.kill();
        record.line("the front node was killed");
        List<Discovery.Entry> left = new ArrayList<>();
        for (int i = 0; i < MACHINES / 3; i++) {
            left.add(all.get(i).with("leaving"));
            leaving.add(all.get(i).id());
        }
        discovery.change(left);
        record.line("the agent has been told that these leave: %s", leaving);
        Thread.sleep(1_000);
        discovery.setAnswerDelay(trouble ? SLOW_MILLIS : 0);
        restarted = true;
        node.start(discovery.address(), control.address(), "41 2 Healthy 1.0", known);
        require(node.awaitReady(30), "the front node was not ready again in 30 s");
        Thread.sleep(5_000);
        ending = true;
        record.say("%d attempts began at machines that leave, over %.2f s after the start", breaks.get(), BOUND_SECONDS);
        return breaks.get() == 0;
    }

    private final class Watched extends Machine {
        Watched(String id, Record record) throws java.io.IOException {
            super(id, record);
        }

        @Override
        void serve(Socket socket, InputStream in) throws Exception {
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                String correlationId = request.header("x-correlation-id");
                boolean broken = restarted && leaving.contains(id) && record.seconds() > node.startedAt() + BOUND_SECONDS;
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

package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Discovery takes a second to answer each watch; the machines are replaced by others. */
final class SlowDiscovery extends CaseRun {
    private static final int BUILD = 41;
    private static final int MACHINES = 4;
    private static final int SERVICE_MILLIS = 30;
    private static final long SLOW_MILLIS = 1_000;
    /** What discovery has counts as told after 6 s at the latest. */
    private static final double TOLD_MILLIS = 6_000;
    /** The grace of the settings, 50 ms for sockets and 150 ms for a node that is held up before it writes. */
    private static final double GRACE_MILLIS = 1_000 + 50 + 150;

    public static void main(String[] args) throws Exception {
        run(new SlowDiscovery(), args);
    }

    @Override
    int play() throws Exception {
        List<Double> late = new ArrayList<>();
        double[] leftAt = {Double.MAX_VALUE};
        List<Machine> old = new ArrayList<>();
        List<Machine> successors = new ArrayList<>();
        for (int i = 0; i < 2 * MACHINES; i++) {
            boolean isOld = i < MACHINES;
            Machine machine = new Machine(record, "s-0000000" + i, SERVICE_MILLIS) {
                @Override
                void onRequest(Http.Message request) {
                    if (isOld && record.millis() > leftAt[0] + TOLD_MILLIS + GRACE_MILLIS) {
                        synchronized (late) {
                            late.add(record.millis() - leftAt[0]);
                        }
                    }
                }
            };
            (isOld ? old : successors).add(machine);
            machine.start();
        }
        Discovery discovery = new Discovery(record, BUILD, trouble ? SLOW_MILLIS : 0);
        old.forEach(machine -> discovery.add(machine.id(), machine.entry("active", BUILD)));
        discovery.start();
        Control control = new Control(BUILD);
        control.start();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger servedLater = new AtomicInteger();
        AtomicInteger sentLater = new AtomicInteger();
        try (Node node = Node.prepare()) {
            node.configure(discovery.address(), control.address(), discovery.wholeList(), BUILD);
            node.start(repository);
            if (!node.awaitReady(30_000)) {
                record.result("the node was not ready in 30 s");
                return COULD_NOT_RUN;
            }
            record.line("the node is ready");
            Clients clients = new Clients(record, node.port(), exchange -> {
                boolean isServed = exchange.answer() != null && exchange.answer().status() == 200;
                served.addAndGet(isServed ? 1 : 0);
                if (exchange.sentAt() > leftAt[0] + TOLD_MILLIS + GRACE_MILLIS) {
                    sentLater.incrementAndGet();
                    servedLater.addAndGet(isServed ? 1 : 0);
                }
            });
            clients.start(8, 200);
            Thread.sleep(4_000);
            Map<String, String> started = new LinkedHashMap<>();
            successors.forEach(machine -> started.put(machine.id(), machine.entry("active", BUILD)));
            discovery.change(started);
            Thread.sleep(4_000);
            Map<String, String> leaving = new LinkedHashMap<>();
            old.forEach(machine -> leaving.put(machine.id(), machine.entry("leaving", BUILD)));
            old.forEach(Machine::leave);
            leftAt[0] = record.millis();
            discovery.change(leaving);
            Thread.sleep(27_000);
            clients.end();
            if (!node.isAlive()) {
                record.result("the node ended with status " + node.exitCode());
                return COULD_NOT_RUN;
            }
            record.result("requests sent " + clients.sent() + ", served " + served + "; after the machines had left for "
                    + (TOLD_MILLIS + GRACE_MILLIS) / 1000 + " s: sent " + sentLater + ", served " + servedLater);
        }
        synchronized (late) {
            if (!late.isEmpty()) {
                record.result(String.format(
                        Locale.ROOT,
                        "BROKEN: %d attempts at leaving machines, the last %.1f s after discovery had it",
                        late.size(),
                        late.get(late.size() - 1) / 1000));
                return BROKEN;
            }
        }
        record.result("HELD: no attempt at a leaving machine after the grace");
        return HELD;
    }
}

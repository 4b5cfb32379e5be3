package review;

import java.io.InputStream;
import java.net.Socket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/** Some answers of the machines come a second time, some milliseconds late. */
final class LateSecondAnswer extends CaseRun {
    private static final int BUILD = 41;
    private static final int MACHINES = 3;
    private static final int SERVICE_MILLIS = 20;
    /** One of so many answers comes a second time. */
    private static final int SECOND_EVERY = 4;

    private static final double MIN_DELAY_MILLIS = 8;
    private static final double MAX_DELAY_MILLIS = 15;
    private static final int CLIENTS = 12;
    private static final int CLIENT_INTERVAL_MILLIS = 30;
    private static final long RUN_MILLIS = 90_000;

    private final AtomicInteger seconds = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        run(new LateSecondAnswer(), args);
    }

    @Override
    int play() throws Exception {
        AtomicInteger served = new AtomicInteger();
        AtomicInteger wrong = new AtomicInteger();
        Discovery discovery = new Discovery(record, BUILD, 0);
        for (int i = 0; i < MACHINES; i++) {
            Machine machine = new Machine(record, "s-0000000" + i, SERVICE_MILLIS) {
                @Override
                void answer(Socket socket, InputStream in, String requestId) throws Exception {
                    super.answer(socket, in, requestId);
                    if (trouble && ThreadLocalRandom.current().nextInt(SECOND_EVERY) == 0) {
                        answerAgain(this, socket, in, requestId);
                    }
                }
            };
            machine.start();
            discovery.add(machine.id(), machine.entry("active", BUILD));
        }
        discovery.start();
        Control control = new Control(BUILD);
        control.start();
        try (Node node = Node.prepare()) {
            node.configure(discovery.address(), control.address(), discovery.wholeList(), BUILD);
            node.start(repository);
            if (!node.awaitReady(30_000)) {
                record.result("the node was not ready in 30 s");
                return COULD_NOT_RUN;
            }
            Clients clients = new Clients(record, node.port(), exchange -> {
                if (exchange.answer() != null && exchange.answer().status() == 200) {
                    served.incrementAndGet();
                    if (!exchange.answer().bodyText().equals(Machine.bodyFor(exchange.requestId()))) {
                        wrong.incrementAndGet();
                        record.line("WRONG: " + exchange.requestId() + " got '" + exchange.answer().bodyText() + "'");
                    }
                }
            });
            clients.start(CLIENTS, CLIENT_INTERVAL_MILLIS);
            Thread.sleep(RUN_MILLIS);
            clients.end();
            if (!node.isAlive()) {
                record.result("the node ended with status " + node.exitCode());
                return COULD_NOT_RUN;
            }
            record.result("requests sent " + clients.sent() + ", served " + served + ", second answers " + seconds);
        }
        if (wrong.get() > 0) {
            record.result("BROKEN: " + wrong + " requests were served with the answer to another request");
            return BROKEN;
        }
        record.result("HELD: each request served got its own answer");
        return HELD;
    }

    /** Writes the same answer again some milliseconds later, unless another request has arrived on the connection. */
    private void answerAgain(Machine machine, Socket socket, InputStream in, String requestId) throws Exception {
        double delayMillis = ThreadLocalRandom.current().nextDouble(MIN_DELAY_MILLIS, MAX_DELAY_MILLIS);
        long dueNanos = System.nanoTime() + (long) (delayMillis * 1e6);
        for (long left = dueNanos - System.nanoTime(); left > 0; left = dueNanos - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
        if (in.available() == 0) {
            Machine.write(socket, Machine.goodAnswer(requestId));
            seconds.incrementAndGet();
            record.line("machine " + machine.id() + " answered " + requestId + " a second time after "
                    + Math.round(delayMillis * 10) / 10.0 + " ms, with no request waiting on the connection");
        }
    }
}

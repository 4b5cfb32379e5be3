package review;

import java.io.InputStream;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** Some answers of the machines come with a length that does not fit: shorter than the body that follows. */
final class ShortLength extends CaseRun {
    private static final int BUILD = 41;
    private static final int SERVICE_MILLIS = 30;
    private static final int SPOILT_EVERY = 10;
    private static final int MISSING = 6;

    public static void main(String[] args) throws Exception {
        run(new ShortLength(), args);
    }

    @Override
    int play() throws Exception {
        AtomicInteger answers = new AtomicInteger();
        AtomicInteger spoilt = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger wrong = new AtomicInteger();
        Discovery discovery = new Discovery(record, BUILD, 0);
        for (int i = 0; i < 4; i++) {
            Machine machine = new Machine(record, "s-0000000" + i, SERVICE_MILLIS) {
                @Override
                void answer(Socket socket, InputStream in, String requestId) throws Exception {
                    if (trouble && answers.incrementAndGet() % SPOILT_EVERY == 0) {
                        spoilt.incrementAndGet();
                        String body = bodyFor(requestId);
                        record.line("machine " + id() + " spoils the length of its answer to " + requestId);
                        write(
                                socket,
                                "HTTP/1.1 200 OK\r\nContent-Length: " + (body.length() - MISSING) + "\r\n\r\n" + body);
                    } else {
                        super.answer(socket, in, requestId);
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
            clients.start(8, 100);
            Thread.sleep(20_000);
            clients.end();
            if (!node.isAlive()) {
                record.result("the node ended with status " + node.exitCode());
                return COULD_NOT_RUN;
            }
            record.result("requests sent " + clients.sent() + ", served " + served + ", answers spoilt " + spoilt);
        }
        if (wrong.get() > 0) {
            record.result("BROKEN: " + wrong + " requests were served with something that no machine made for them");
            return BROKEN;
        }
        record.result("HELD: each request served got its own answer");
        return HELD;
    }
}

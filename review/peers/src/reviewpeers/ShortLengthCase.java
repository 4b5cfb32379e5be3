package reviewpeers;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Some answers arrive spoilt: their length does not fit. Machines write head and body one after the other. */
final class ShortLengthCase extends Case {
    private static final int MACHINES = 8;
    private static final double SHARE = 0.05;

    private final AtomicInteger spoilt = new AtomicInteger();
    private final AtomicInteger wrong = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        main(new ShortLengthCase(), args);
    }

    @Override
    boolean holds() throws Exception {
        List<Machine> machines = new ArrayList<>();
        for (int i = 0; i < MACHINES; i++) {
            machines.add(new Spoiling("s-" + i));
            machines.get(i).start();
        }
        Discovery discovery = new Discovery(41, entries(machines, 41), false);
        Control control = new Control(record, "41 2 Healthy 1.0");
        discovery.start();
        control.start();
        node.start(discovery.address(), control.address(), "41 2 Healthy 1.0", discovery.list());
        require(node.awaitReady(30), "the front node was not ready in 30 s");
        startClients(16, 40, "lookup", 300, "2.500");
        Thread.sleep(10_000);
        ending = true;
        require(served.get() > 1_000, "too few requests were served");
        record.say("%d spoilt answers, %d of them served with a body that no machine made", spoilt.get(), wrong.get());
        return wrong.get() == 0;
    }

    @Override
    Http.Message one(Client client, String route, String id, String key, String timeLeft) throws IOException {
        Http.Message answer = super.one(client, route, id, key, timeLeft);
        if (answer.status() == 200 && !answer.text().equals(Machine.body(id))) {
            wrong.incrementAndGet();
            record.line("WRONG: the client of %s got 200 with %d bytes: '%s'", id, answer.body().length, answer.text());
        }
        return answer;
    }

    private final class Spoiling extends Machine {
        Spoiling(String id) throws IOException {
            super(id, ShortLengthCase.this.record);
        }

        @Override
        void answer(Socket socket, Http.Message request, String correlationId) throws Exception {
            Thread.sleep(15);
            String body = body(correlationId);
            boolean spoils = trouble && ThreadLocalRandom.current().nextDouble() < SHARE;
            write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + (spoils ? 0 : body.length()) + "\r\n\r\n");
            write(socket, body);
            if (spoils) {
                spoilt.incrementAndGet();
                record.line("machine %s has answered %s with Content-Length: 0 and %d bytes", id, correlationId, body.length());
            }
        }
    }
}

package reviewpeers;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Some machines' answers come twice, the second copy some milliseconds late, when nothing else waits on the connection. */
final class SecondAnswerCase extends Case {
    private static final int MACHINES = 8;
    private static final double SHARE = 0.2;
    private static final double LATE_MILLIS = 12;

    private final AtomicInteger foreign = new AtomicInteger();
    private final AtomicInteger copies = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        main(new SecondAnswerCase(), args);
    }

    @Override
    boolean holds() throws Exception {
        List<Machine> machines = new ArrayList<>();
        for (int i = 0; i < MACHINES; i++) {
            machines.add(new Twice("s-" + i));
            machines.get(i).start();
        }
        Discovery discovery = new Discovery(41, entries(machines, 41), false);
        Control control = new Control(record, "41 2 Healthy 1.0");
        discovery.start();
        control.start();
        node.start(discovery.address(), control.address(), "41 2 Healthy 1.0", discovery.list());
        require(node.awaitReady(30), "the front node was not ready in 30 s");
        startClients(30, 20, "lookup", 300, "2.500");
        Thread.sleep(20_000);
        ending = true;
        require(served.get() > 1_000, "too few requests were served");
        record.say("%d second copies, %d answers made for another request", copies.get(), foreign.get());
        return foreign.get() == 0;
    }

    @Override
    Http.Message one(Client client, String route, String id, String key, String timeLeft) throws IOException {
        Http.Message answer = super.one(client, route, id, key, timeLeft);
        if (answer.status() == 200 && !answer.text().equals(Machine.body(id))) {
            foreign.incrementAndGet();
            record.line("FOREIGN: the client of %s got: %s", id, answer.text());
        }
        return answer;
    }

    private final class Twice extends Machine {
        Twice(String id) throws IOException {
            super(id, SecondAnswerCase.this.record);
        }

        @Override
        void answer(Socket socket, Http.Message request, String correlationId) throws Exception {
            Thread.sleep(15);
            write(socket, ok(correlationId));
            if (trouble && ThreadLocalRandom.current().nextDouble() < SHARE) {
                long due = System.nanoTime() + (long) (LATE_MILLIS * 1e6);
                while (System.nanoTime() < due) {
                    Thread.sleep(0, 200_000);
                }
                String copy = ok(correlationId);
                if (socket.getInputStream().available() == 0) {
                    write(socket, copy);
                    copies.incrementAndGet();
                    record.line("machine %s sent a second copy for %s", id, correlationId);
                }
            }
        }
    }
}

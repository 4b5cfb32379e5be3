package reviewpeers;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A bad client sends deadlines that are not a number. */
final class DeadlineCase extends Case {
    private static final String[] NOT_NUMBERS = {"soon", "NaN", "", "1,5", "two", "1.5s", "1.5d", "2f", "0x1p1", "1.5D"};

    public static void main(String[] args) throws Exception {
        main(new DeadlineCase(), args);
    }

    @Override
    boolean holds() throws Exception {
        List<Machine> machines = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            machines.add(new Machine("s-" + i, record));
            machines.get(i).start();
        }
        Discovery discovery = new Discovery(41, entries(machines, 41), false);
        Control control = new Control(record, "41 2 Healthy 1.0");
        discovery.start();
        control.start();
        node.start(discovery.address(), control.address(), "41 2 Healthy 1.0", discovery.list());
        require(node.awaitReady(30), "the front node was not ready in 30 s");
        startClients(6, 50, "lookup", 300, "2.500");
        Thread.sleep(2_000);
        int breaks = 0;
        for (int i = 0; trouble && i < NOT_NUMBERS.length; i++) {
            try (Client bad = new Client(node.port())) {
                record.line("a bad client sends X-Time-Left: %s", NOT_NUMBERS[i]);
                Http.Message answer = one(bad, "change", "bad" + i, "kb", NOT_NUMBERS[i]);
                if (answer.status() < 400) {
                    breaks++;
                    record.say("X-Time-Left: %s was served: %s", NOT_NUMBERS[i], answer.text());
                }
            } catch (IOException closed) {
                record.line("the bad client's connection was closed");
            }
        }
        ending = true;
        require(served.get() > 20, "too few requests were served");
        return breaks == 0;
    }
}

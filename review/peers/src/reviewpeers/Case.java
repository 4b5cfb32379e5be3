package reviewpeers;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/** What all cases share: the record, a temporary folder, the verdict as exit code, and steady clients. */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;
    private static final int LIMIT_SECONDS = 110;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record record;
    Path root;
    Path folder;
    FrontNode node;
    final AtomicInteger asked = new AtomicInteger();
    final AtomicInteger served = new AtomicInteger();
    volatile boolean ending;
    private volatile int finishedWith = COULD_NOT_RUN;

    /** Thrown if the case cannot be judged. */
    static final class CannotRun extends Exception {
        private static final long serialVersionUID = 1;

        CannotRun(String reason) {
            super(reason);
        }
    }

    /** Runs the case and returns whether the rule held. */
    abstract boolean holds() throws Exception;

    /** Runs a case: its folder is the first argument, the root of the repository the working directory. */
    static void main(Case it, String[] args) throws Exception {
        it.root = Path.of("").toAbsolutePath();
        it.record = new Record(Path.of(args[0]).resolve("record.txt"));
        it.folder = Files.createTempDirectory("review");
        it.node = new FrontNode(it.root, it.folder, it.record);
        Peer.thread("limit", () -> {
            Thread.sleep(LIMIT_SECONDS * 1_000L);
            it.record.say("could not run: over %d s", LIMIT_SECONDS);
            it.finish(COULD_NOT_RUN);
        });
        try {
            it.finish(it.holds() ? HELD : BROKEN);
        } catch (CannotRun e) {
            it.record.say("could not run: %s", e.getMessage());
            it.finish(COULD_NOT_RUN);
        }
    }

    private synchronized void finish(int code) throws IOException {
        node.kill();
        record.say("trouble %s, asked %d, served %d: %s", trouble ? "on" : "off", asked.get(), served.get(),
                code == HELD ? "the rule held" : code == BROKEN ? "THE RULE WAS BROKEN" : "not judged");
        record.close();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
        Runtime.getRuntime().halt(code);
    }

    void require(boolean condition, String reason) throws CannotRun {
        if (!condition) {
            throw new CannotRun(reason);
        }
    }

    /** Starts clients that send one request after the other and connect again when their connection ends. */
    void startClients(int count, int pauseMillis, String route, int keys, String timeLeft) {
        for (int i = 0; i < count; i++) {
            String name = "c" + i + route.charAt(0);
            Peer.thread("client", () -> {
                int number = 0;
                while (!ending) {
                    try (Client client = new Client(node.port())) {
                        while (!ending) {
                            String id = name + "-" + number++;
                            one(client, route, id, "k" + (asked.get() % keys), timeLeft);
                            Thread.sleep(pauseMillis);
                        }
                    } catch (IOException ended) {
                        Thread.sleep(20);
                    }
                }
            });
        }
    }

    /** Sends one request and records its answer. */
    Http.Message one(Client client, String route, String id, String key, String timeLeft) throws IOException {
        asked.incrementAndGet();
        record.line("client sends %s %s key %s", route, id, key);
        Http.Message answer = client.ask(Client.request(route, id, key, timeLeft), 10_000);
        record.line("client gets %d for %s", answer.status(), id);
        if (answer.status() == 200) {
            served.incrementAndGet();
        }
        return answer;
    }

    /** Returns list entries of machines that started long ago. */
    static List<Discovery.Entry> entries(List<? extends Machine> machines, int build) {
        String[] zones = {"dub-north", "dub-west", "cork-main"};
        List<Discovery.Entry> entries = new ArrayList<>();
        for (int i = 0; i < machines.size(); i++) {
            Machine machine = machines.get(i);
            entries.add(new Discovery.Entry(machine.id, machine.address(), zones[i % 3], "std-1", i % 3, "active", 1.0, 0, build));
        }
        return entries;
    }
}

package reviewpeers;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** The answer to a vote is some time on its way; meanwhile the build is sent back and the front nodes are told. */
final class StaleVoteCase extends Case {
    private static final int STABLE_MACHINES = 10;
    private static final int TRIAL_MACHINES = 5;
    /** How long a call to the release line takes at most. */
    private static final int CALL_MILLIS = 185;
    /** Another front node's vote comes this long after ours, and the change is told this long after it. */
    private static final int OTHER_VOTE_MILLIS = 15;

    private static final int TOLD_LATE_MILLIS = 120;
    private static final double LOWER_CAP_BINDS_SECONDS = 0.15 + 0.05;
    private static final int ALLOWED_ATTEMPTS = 2;

    private final List<Double> attempts = new ArrayList<>();
    private final CountDownLatch voted = new CountDownLatch(1);
    private volatile boolean armed;
    private volatile double toldAt = Double.MAX_VALUE;

    public static void main(String[] args) throws Exception {
        main(new StaleVoteCase(), args);
    }

    @Override
    boolean holds() throws Exception {
        List<Machine> stable = new ArrayList<>();
        List<Machine> trial = new ArrayList<>();
        for (int i = 0; i < STABLE_MACHINES; i++) {
            stable.add(new Machine("s-" + i, record));
        }
        for (int i = 0; i < TRIAL_MACHINES; i++) {
            trial.add(new Trial("t-" + i));
        }
        List<Discovery.Entry> all = new ArrayList<>(entries(stable, 41));
        all.addAll(entries(trial, 42));
        stable.forEach(Machine::start);
        trial.forEach(Machine::start);
        Discovery discovery = new Discovery(57, all, false);
        Control control = new Control(record, "42 1 Progressing 0.42") {
            @Override
            void voted() {
                if (armed) {
                    voted.countDown();
                }
            }
        };
        Proxy proxy = new Proxy(control.listener.getLocalPort());
        discovery.start();
        control.start();
        proxy.start();
        node.start(discovery.address(), proxy.address(), "42 1 Progressing 0.42", discovery.list());
        require(node.awaitReady(30), "the front node was not ready in 30 s");
        startClients(16, 60, "lookup", 2_000, "2.500");
        Thread.sleep(6_000);
        synchronized (attempts) {
            require(attempts.size() > 50, "the build on trial got too few requests");
        }
        proxy.delaysAnswers = trouble;
        armed = true;
        require(voted.await(20, TimeUnit.SECONDS), "the front node did not vote");
        // the front node's vote has been answered; another one's vote sends the build back
        Thread.sleep(OTHER_VOTE_MILLIS + TOLD_LATE_MILLIS);
        control.change("42 1 Aborting 0");
        toldAt = record.seconds();
        Thread.sleep(3_500);
        ending = true;
        int late = 0;
        synchronized (attempts) {
            for (double at : attempts) {
                late += at > toldAt + LOWER_CAP_BINDS_SECONDS ? 1 : 0;
            }
        }
        record.say("%d attempts began at the build over %.2f s after the node was told that it goes back", late, LOWER_CAP_BINDS_SECONDS);
        return late <= ALLOWED_ATTEMPTS;
    }

    private final class Trial extends Machine {
        Trial(String id) throws IOException {
            super(id, StaleVoteCase.this.record);
        }

        @Override
        void answer(Socket socket, Http.Message request, String correlationId) throws Exception {
            synchronized (attempts) {
                attempts.add(record.seconds());
            }
            if (record.seconds() > toldAt + LOWER_CAP_BINDS_SECONDS) {
                record.line("BREAK: %s runs %s, %.3f s after the news", id, correlationId, record.seconds() - toldAt);
            }
            super.answer(socket, request, correlationId);
        }
    }

    /** The way to the release line; what comes back on a connection that carries votes takes some time. */
    private final class Proxy extends Peer {
        private final int port;
        private volatile boolean delaysAnswers;

        Proxy(int port) throws IOException {
            this.port = port;
        }

        @Override
        void serve(Socket client, InputStream in) throws Exception {
            try (Socket platform = new Socket("127.0.0.1", port)) {
                platform.setTcpNoDelay(true);
                boolean[] votes = new boolean[1];
                thread("answers", () -> {
                    byte[] bytes = new byte[4096];
                    InputStream from = platform.getInputStream();
                    OutputStream to = client.getOutputStream();
                    for (int count = from.read(bytes); count > 0; count = from.read(bytes)) {
                        if (votes[0] && delaysAnswers) {
                            record.line("the answer to a vote is on its way");
                            Thread.sleep(CALL_MILLIS);
                            record.line("the answer to a vote arrives");
                        }
                        to.write(bytes, 0, count);
                        to.flush();
                    }
                    client.close();
                });
                byte[] bytes = new byte[4096];
                for (int count = in.read(bytes); count > 0; count = in.read(bytes)) {
                    votes[0] |= bytes[0] == 'S' && bytes[1] == 'A';
                    platform.getOutputStream().write(bytes, 0, count);
                    platform.getOutputStream().flush();
                }
            }
        }
    }
}

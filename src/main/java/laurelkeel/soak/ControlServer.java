package laurelkeel.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.Random;

/** The control service: one build on trial, news of it, and answers to votes, some of them spoilt. */
final class ControlServer extends TcpServer {
    static final int TRIAL_BUILD = 24;
    private static final int BEAT_MS = 1_000;

    private final Violations violations;
    private final Random random;
    private final double spoilt;

    ControlServer(Violations violations, long seed, double spoilt) throws IOException {
        this.violations = violations;
        this.random = new Random(seed);
        this.spoilt = spoilt;
    }

    private synchronized boolean spoils() {
        return random.nextDouble() < spoilt;
    }

    private static String state() {
        return TRIAL_BUILD + " 1 Progressing 0.5 9000\r\n";
    }

    @Override
    void serve(Socket socket, InputStream in) throws IOException {
        for (String call = line(in); call != null; call = line(in)) {
            if (spoils()) {
                write(socket, random.nextBoolean() ? "OK 24 1 Progr" : "\u0001\u0002\r\n");
                socket.close();
                return;
            }
            if (call.equals("SUB")) {
                write(socket, "OK\r\n* progress " + state());
                daemon("beat", () -> {
                    while (!socket.isClosed()) {
                        Thread.sleep(BEAT_MS);
                        write(socket, "*\r\n");
                    }
                });
            } else if (call.startsWith("SAY ")) {
                violations.count("votes");
                write(socket, "OK " + state());
            } else {
                violations.add("control", "no call: " + call);
            }
        }
    }
}

package laurelkeel.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.Random;

/** A control service with one canary build: sends its progress and answers votes, some with malformed data; thread-safe. */
final class ControlServer extends TcpServer {
    static final int CANARY_BUILD = 24;
    static final int BASELINE_BUILD = CANARY_BUILD - 1;
    private static final int HEARTBEAT_MILLIS = 1_000;
    private static final String PROGRESS = CANARY_BUILD + " 1 Progressing 0.5 9000\r\n";

    private final ViolationLog violations;
    private final Random random;
    private final double malformedShare;

    /** @param malformedShare the share of calls that get a malformed reply, from 0 to 1 */
    ControlServer(ViolationLog violations, long seed, double malformedShare) throws IOException {
        this.violations = violations;
        this.random = new Random(seed);
        this.malformedShare = malformedShare;
    }

    private synchronized boolean nextReplyIsMalformed() {
        return random.nextDouble() < malformedShare;
    }

    @Override
    void serve(Socket socket, InputStream in) throws IOException {
        for (String call = HttpText.readLine(in); call != null; call = HttpText.readLine(in)) {
            if (nextReplyIsMalformed()) {
                HttpText.write(socket, random.nextBoolean() ? "OK 24 1 Progr" : "\u0001\u0002\r\n");
                socket.close();
                return;
            }
            if (call.equals("SUB")) {
                HttpText.write(socket, "OK\r\n* progress " + PROGRESS);
                DaemonThreads.start("heartbeat", () -> sendHeartbeats(socket));
            } else if (call.startsWith("SAY ")) {
                violations.count("votes");
                HttpText.write(socket, "OK " + PROGRESS);
            } else {
                violations.add(SoakRule.CONTROL, "unknown call: " + call);
            }
        }
    }

    private static void sendHeartbeats(Socket socket) throws IOException, InterruptedException {
        while (!socket.isClosed()) {
            Thread.sleep(HEARTBEAT_MILLIS);
            HttpText.write(socket, "*\r\n");
        }
    }
}

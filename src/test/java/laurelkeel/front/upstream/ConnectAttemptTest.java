package laurelkeel.front.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.FrontTestRig;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Connections end in their time by the loop's clock, which is driven by hand here, and harm no other that is being opened. */
class ConnectAttemptTest {
    private static final String TIMED_OUT = "timed out";
    private static final int LIMIT = 1_000, ROUNDS = 200;

    private final AtomicLong clock = new AtomicLong(1_000_000);
    private final EventLoop loop = new EventLoop(clock::get);
    private final NioSocketConnector connector = new NioSocketConnector(1);
    private final List<Object> told = new CopyOnWriteArrayList<>();

    @BeforeEach
    void run() {
        connector.setConnectTimeoutMillis(ConnectAttempt.MINA_TIMEOUT_MS);
        connector.setHandler(new ConnectAttempt.Handler() {});
        FrontTestRig.run(loop);
    }

    @AfterEach
    void stop() {
        loop.stop();
        connector.dispose();
    }

    /** Begun when this returns: the clock may be driven on. */
    private void dial(InetSocketAddress to) throws InterruptedException {
        CountDownLatch begun = new CountDownLatch(1);
        loop.post(() -> begin(to));
        loop.post(begun::countDown);
        assertTrue(begun.await(10, TimeUnit.SECONDS));
    }

    private void begin(InetSocketAddress to) {
        ConnectAttempt.start(connector, loop, loop::post, LIMIT, to, session -> {}, new ConnectAttempt.Listener() {
            @Override
            public void connected(IoSession session) {
                told.add(session);
            }

            @Override
            public void failed(Throwable why) {
                told.add(why);
            }

            @Override
            public void timedOut() {
                told.add(TIMED_OUT);
            }
        });
    }

    private static InetSocketAddress address(ServerSocket server) {
        return new InetSocketAddress("127.0.0.1", server.getLocalPort());
    }

    @Test
    void oneThatNeverComesUpFailsInItsTimeAndNotBefore() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            // its backlog takes two, and the kernel drops what comes then
            List<java.net.Socket> fill = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                fill.add(new java.net.Socket("127.0.0.1", full.getLocalPort()));
            }
            dial(address(full));
            clock.addAndGet(LIMIT - 1);
            loop.post(() -> told.add("a turn"));
            FrontTestRig.await("a turn", () -> told.size() == 1);
            assertEquals(List.of("a turn"), told);
            clock.addAndGet(2);
            FrontTestRig.await("it fails", () -> told.size() == 2);
            assertEquals(TIMED_OUT, told.get(1));
            for (java.net.Socket each : fill) {
                each.close();
            }
        }
    }

    /** Given up in the very moment in which it comes up: the next one must come up all the same. */
    @Test
    void oneThatIsGivenUpAsItComesUpHarmsNoOther() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 500, InetAddress.getByName("127.0.0.1"))) {
            for (int i = 0; i < ROUNDS; i++) {
                int before = told.size();
                dial(address(server));
                clock.addAndGet(LIMIT + 1);
                dial(address(server));
                FrontTestRig.await("both are told", () -> told.size() >= before + 2);
                server.accept().close();
            }
        }
        assertEquals(2 * ROUNDS, told.size());
    }
}

package laurelkeel.front.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.eventloop.LoopThreads;
import laurelkeel.front.FrontTestPeers;
import laurelkeel.front.FrontTestRig;
import laurelkeel.wire.Headers;
import laurelkeel.wire.HttpLimits;
import laurelkeel.wire.HttpProtocolException;
import laurelkeel.wire.HttpRequest;
import laurelkeel.wire.HttpResponse;
import org.apache.mina.core.filterchain.IoFilterAdapter;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.core.session.DefaultIoSessionDataStructureFactory;
import org.apache.mina.core.session.IdleStatus;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.core.session.IoSessionAttributeMap;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Whatever ends a client's connection, no req that was read off it goes without its answer. */
class ConnectionEndsTest {
    private static final String ASK = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";

    private final AtomicLong clock = new AtomicLong(1_000_000);
    private final EventLoop loop = new EventLoop(clock::get);
    private final ExecutorService threads = LoopThreads.cachedPool(loop, "test-sockets");
    private final List<Socket> clients = new ArrayList<>();
    private Ingress ingress;
    private Socket inHand;
    private ClientProtocol words = new Words();
    private int port;

    private void made(int connections, long idleClose) {
        ingress = new Ingress(
                new IngressSettings(
                        new InetSocketAddress("127.0.0.1", 0),
                        new HttpLimits(2048, 8192, 64, 1024),
                        connections,
                        4,
                        100,
                        8192,
                        4,
                        idleClose,
                        100_000,
                        1,
                        0,
                        5_500,
                        24_000,
                        20_000,
                        21_000),
                words,
                loop,
                threads,
                new SimpleIoProcessorPool<>(NioProcessor.class, threads, 1, null),
                new Answering());
    }

    private void opened(int connections, long idleClose) throws IOException {
        made(connections, idleClose);
        port = ingress.bind().getPort();
    }

    private void runLoop() {
        new Thread(() -> loop.run(() -> {
                    ingress.flush();
                    return false;
                }))
                .start();
    }

    private Socket client() throws IOException {
        Socket s = new Socket("127.0.0.1", port);
        s.setSoTimeout(10_000);
        clients.add(s);
        return s;
    }

    private static boolean answered(Socket s) throws IOException {
        return FrontTestPeers.hear(s).startsWith("HTTP/1.1 200 ");
    }

    @AfterEach
    void end() throws IOException {
        for (Socket s : clients) {
            s.close();
        }
        loop.stop();
        ingress.close();
    }

    /** Every req is for the front itself. */
    private static class Words implements ClientProtocol {
        @Override
        public boolean isNodeRequest(HttpRequest http) {
            return true;
        }

        @Override
        public ClientRequest parseRequest(HttpRequest http) {
            throw new AssertionError("all are its own");
        }

        @Override
        public HttpResponse badRequest(HttpProtocolException bad, HttpRequest http) {
            return new HttpResponse(bad.status(), new Headers(), new byte[0]);
        }

        @Override
        public HttpResponse notAccepted(String why) {
            return new HttpResponse(503, new Headers(), new byte[0]);
        }

        @Override
        public HttpResponse rejected(long after, String why) {
            return notAccepted(why);
        }

        @Override
        public HttpResponse failed(boolean late, String why) {
            return new HttpResponse(502, new Headers(), new byte[0]);
        }
    }

    /** Answers each at once. */
    private final class Answering implements IngressListener {
        @Override
        public void onRequest(ClientConnection from, ClientRequest asked, long arrived) {}

        @Override
        public void onNodeRequest(ClientConnection from, HttpRequest http) {
            ingress.answer(from, false, new HttpResponse(200, new Headers(), new byte[0]));
        }

        @Override
        public void onDisconnect(Object current) {}

        @Override
        public int activeRequests() {
            return 0;
        }

        @Override
        public boolean isDraining() {
            return false;
        }

        @Override
        public boolean hasEnded() {
            return false;
        }
    }

    /** Holds what the socket thread has read off a connection, before anything is made of it. */
    private static final class Hold extends IoFilterAdapter {
        final CountDownLatch read = new CountDownLatch(1), go = new CountDownLatch(1);
        /** Holds it again until the answer has been handed over, which it then finds behind what stood there before. */
        volatile boolean untilAnswered;

        @Override
        public void messageReceived(NextFilter next, IoSession session, Object message) throws Exception {
            read.countDown();
            go.await();
            int before = session.getScheduledWriteMessages();
            next.messageReceived(session, message);
            if (untilAnswered) {
                untilAnswered = false;
                FrontTestRig.await("it is answered", () -> session.getScheduledWriteMessages() > before);
            }
        }
    }

    /** The loop comes to end what seems idle while the socket thread has a req of it in hand. */
    private void endsWhileOneIsInHand(long older, Runnable end) throws Exception {
        endsWhileOneIsInHand(new Hold(), older, end);
        assertReadOn();
    }

    private void assertReadOn() throws IOException {
        FrontTestPeers.say(inHand, ASK);
        assertTrue(answered(inHand), "and the connection is read on");
    }

    private void endsWhileOneIsInHand(Hold hold, long older, Runnable end) throws Exception {
        ingress.acceptor().getFilterChain().addFirst("hold", hold);
        Socket c = client();
        inHand = c;
        FrontTestPeers.say(c, ASK);
        assertTrue(hold.read.await(10, TimeUnit.SECONDS));
        clock.addAndGet(older);
        end.run();
        CountDownLatch passed = new CountDownLatch(1);
        loop.schedule(clock.addAndGet(10_000), passed::countDown);
        runLoop();
        assertTrue(passed.await(10, TimeUnit.SECONDS));
        hold.go.countDown();
        assertTrue(answered(c), "what was read is answered");
    }

    /** An error of this program in reading a request is no reason to leave its client without an answer. */
    @Test
    void aReqThatCannotBeHandledIsAnsweredAndItsConnectionGoesOn() throws Exception {
        words = new Words() {
            @Override
            public boolean isNodeRequest(HttpRequest http) {
                throw new IllegalStateException("made");
            }
        };
        opened(10, 600_000);
        runLoop();
        Socket c = client();
        for (int i = 0; i < 2; i++) {
            FrontTestPeers.say(c, ASK);
            assertTrue(FrontTestPeers.hear(c).startsWith("HTTP/1.1 500 "));
        }
    }

    /**
     * The answer is handed over after the look that ends its connection was asked for, and before it is taken: it is
     * written, and what made the connection seem idle no longer holds.
     */
    @Test
    void aConnectionThatIsAnsweredBeforeItIsLookedAtIsReadOn() throws Exception {
        opened(10, 600_000);
        Hold hold = new Hold();
        hold.untilAnswered = true;
        endsWhileOneIsInHand(hold, 30_000, ingress::sweep);
        assertReadOn();
    }

    @Test
    void aDrainEndsNoConnectionWhoseReqIsBeingRead() throws Exception {
        opened(10, 600_000);
        endsWhileOneIsInHand(0, ingress::closeIdle);
    }

    @Test
    void aFirstReqThatIsBeingReadIsNotTooLate() throws Exception {
        opened(10, 600_000);
        endsWhileOneIsInHand(30_000, ingress::sweep);
    }

    @Test
    void aConnectionWithNothingInHandEndsAtOnceAtADrain() throws Exception {
        opened(10, 600_000);
        Socket c = client(), half = client();
        runLoop();
        FrontTestPeers.say(c, ASK);
        assertTrue(answered(c));
        FrontTestPeers.say(half, ASK.substring(0, 9));
        FrontTestRig.await("half is read", () -> ingress.halfRead() == 1);
        ingress.closeIdle();
        assertEquals("<end>", FrontTestPeers.hear(c));
        FrontTestPeers.say(half, ASK.substring(9));
        assertTrue(answered(half));
    }

    @Test
    void roomIsNeverMadeOfAConnectionWhoseReqWaitsForTheLoop() throws Exception {
        opened(2, 600_000);
        Socket a = client(), b = client();
        runLoop();
        for (Socket s : List.of(a, b)) {
            FrontTestPeers.say(s, ASK);
            assertTrue(answered(s));
            clock.addAndGet(10);
        }
        // the loop is held up from here on, and both have rested for long
        CountDownLatch held = new CountDownLatch(1), go = new CountDownLatch(1);
        loop.post(() -> {
            held.countDown();
            try {
                go.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        held.await();
        clock.addAndGet(30_000);
        FrontTestPeers.say(a, ASK);
        FrontTestRig.await("read", () -> loop.queuedTasks() >= 1);
        client();
        assertEquals("<end>", FrontTestPeers.hear(b), "the other gives its place, though it has rested for less");
        go.countDown();
        assertTrue(answered(a));
    }

    /** Idleness goes by the loop's clock, so it can be driven: before this it was MINA's, which goes by the wall clock. */
    @Test
    void anIdleConnectionWhoseReqIsBeingReadIsAnswered() throws Exception {
        opened(10, 20_000);
        endsWhileOneIsInHand(20_001, ingress::sweep);
    }

    @Test
    void anIdleConnectionEndsAtItsTimeAndNotBefore() throws Exception {
        opened(10, 20_000);
        Socket c = client();
        FrontTestPeers.say(c, ASK);
        FrontTestRig.await("read", () -> loop.queuedTasks() > 0);
        runLoop();
        assertTrue(answered(c));
        for (int i = 0; i < 3; i++) {
            clock.addAndGet(20_000);
            swept();
            FrontTestPeers.say(c, ASK);
            assertTrue(answered(c), "open still");
        }
        clock.addAndGet(20_001);
        swept();
        assertEquals("<end>", FrontTestPeers.hear(c));
    }

    private void swept() {
        CountDownLatch passed = new CountDownLatch(1);
        loop.post(() -> {
            ingress.sweep();
            passed.countDown();
        });
        try {
            assertTrue(passed.await(10, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** What MINA would end by itself goes by the wall clock, which may be stepped. */
    @Test
    void noLimitGoesByTheWallClock() throws Exception {
        opened(10, 20_000);
        assertEquals(0, ingress.acceptor().getSessionConfig().getWriteTimeout());
        for (IdleStatus kind : List.of(IdleStatus.BOTH_IDLE, IdleStatus.READER_IDLE, IdleStatus.WRITER_IDLE)) {
            assertEquals(0, ingress.acceptor().getSessionConfig().getIdleTime(kind));
        }
    }

    /** Holds up the acceptor's thread at each connection that it takes. */
    private static final class Slow extends DefaultIoSessionDataStructureFactory {
        final CountDownLatch first = new CountDownLatch(1), go = new CountDownLatch(1);

        @Override
        public IoSessionAttributeMap getAttributeMap(IoSession session) throws Exception {
            first.countDown();
            go.await();
            return super.getAttributeMap(session);
        }
    }

    @Test
    void whatTheKernelHasAcceptedIsTakenBeforeTheListenerCloses() throws Exception {
        Slow slow = new Slow();
        made(10, 600_000);
        ingress.acceptor().setSessionDataStructureFactory(slow);
        port = ingress.bind().getPort();
        runLoop();
        Socket held = client();
        assertTrue(slow.first.await(10, TimeUnit.SECONDS));
        List<Socket> behind = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            Socket s = client();
            FrontTestPeers.say(s, ASK);
            behind.add(s);
        }
        Thread ends = new Thread(ingress::unbind);
        ends.start();
        FrontTestRig.await(
                "it waits to be unbound",
                () -> ends.getState() == Thread.State.WAITING || ends.getState() == Thread.State.TIMED_WAITING);
        slow.go.countDown();
        ends.join();
        for (Socket s : behind) {
            assertTrue(answered(s));
        }
        FrontTestPeers.say(held, ASK);
        assertTrue(answered(held));
    }
}

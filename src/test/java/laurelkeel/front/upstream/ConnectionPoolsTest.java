package laurelkeel.front.upstream;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.LoadReport;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.eventloop.LoopThreads;
import laurelkeel.front.FrontTestPeers;
import laurelkeel.front.NodeRuntime;
import laurelkeel.wire.ForwardedMessage;
import laurelkeel.wire.HttpLimits;
import laurelkeel.wire.HttpResponse;
import laurelkeel.wire.UnexpectedInputProcessor;
import org.apache.mina.core.filterchain.IoFilterAdapter;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.core.session.IoSession;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Connections to a machine in the moments in which one attempt could meet what belongs to another, or none. */
class ConnectionPoolsTest {
    private static final EndpointProtocol WORDS = new EndpointProtocol() {
        @Override
        public EndpointResponse parseResponse(HttpResponse answer) {
            return new EndpointResponse(
                    AttemptOutcome.COMPLETED,
                    ForwardedMessage.of(answer, List.of()),
                    LoadReport.NONE,
                    answer.closesConnection());
        }

        @Override
        public AttemptOutcome unreadableOutcome() {
            return AttemptOutcome.CONNECTION_LOST;
        }
    };

    private final EventLoop loop = new EventLoop(NodeRuntime.monotonicClock());
    private final ExecutorService threads = LoopThreads.cachedPool(loop, "test-sockets");
    /** The dial's time is far longer than a test. */
    private final ConnectionPools pools = new ConnectionPools(
            new UpstreamSettings(
                    new HttpLimits(1024, 8192, 64, 1024), 8, 8, 8, 600_000, 600_000, 1, "/load", 2_500, 100),
            WORDS,
            loop,
            threads,
            new SimpleIoProcessorPool<>(UnexpectedInputProcessor.class, threads, 1, null));

    private final Thread runs = new Thread(() -> loop.run(() -> false));
    private final ServerSocket machine;
    private final EndpointAddress at;

    ConnectionPoolsTest() throws IOException {
        machine = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        machine.setSoTimeout(10_000);
        at = new EndpointAddress("m", new InetSocketAddress(machine.getInetAddress(), machine.getLocalPort()));
        runs.start();
    }

    @AfterEach
    void end() throws Exception {
        loop.stop();
        runs.join();
        pools.close();
        machine.close();
    }

    private record Ended(AttemptOutcome outcome, String body) {}

    private CompletableFuture<Ended> start() {
        CompletableFuture<Ended> ended = new CompletableFuture<>();
        loop.post(() -> pools.startExchange(
                at,
                () -> "GET / HTTP/1.1\r\n\r\n".getBytes(UTF_8),
                false,
                (outcome, came) -> ended.complete(new Ended(
                        outcome, came == null ? "" : new String(came.forwarded().body(), UTF_8)))));
        return ended;
    }

    private static Ended told(CompletableFuture<Ended> ended) throws Exception {
        return ended.get(10, TimeUnit.SECONDS);
    }

    private static void answer(Socket machine, String body) throws IOException {
        FrontTestPeers.say(machine, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    private interface Befalls {
        void machine(Socket m) throws IOException;
    }

    /** It befalls a connection while the socket thread is held, and the loop hands over the next request meanwhile. */
    private void theNextRequestGoesElsewhereAfter(Befalls what) throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        pools.connector().getFilterChain().addFirst("hold", new IoFilterAdapter() {
            @Override
            public void messageReceived(NextFilter next, IoSession session, Object message) throws Exception {
                next.messageReceived(session, message);
                go.await();
            }
        });
        CompletableFuture<Ended> first = start();
        Socket m = machine.accept();
        FrontTestPeers.hear(m);
        answer(m, "first");
        assertEquals(new Ended(AttemptOutcome.COMPLETED, "first"), told(first));
        what.machine(m);
        CountDownLatch rested = new CountDownLatch(1);
        loop.post(() -> loop.schedule(loop.nowTicks() + 200, rested::countDown));
        rested.await();
        CompletableFuture<Ended> second = start();
        CountDownLatch handedOver = new CountDownLatch(1);
        loop.post(handedOver::countDown);
        handedOver.await();
        go.countDown();
        Socket again = machine.accept();
        FrontTestPeers.hear(again);
        answer(again, "second");
        assertEquals(new Ended(AttemptOutcome.COMPLETED, "second"), told(second));
    }

    @Test
    void aSecondAnswerThatLiesUnreadIsNotTheNextRequests() throws Exception {
        theNextRequestGoesElsewhereAfter(m -> answer(m, "wrong"));
    }

    /** Such a connection has provably carried nothing of it. */
    @Test
    void aConnectionThatEndedUnseenCarriesNoRequest() throws Exception {
        theNextRequestGoesElsewhereAfter(Socket::close);
    }

    @Test
    void aMachineWhoseConnectionsEndAsTheyComeUpIsDialledThreeTimesForAnAttempt() throws Exception {
        AtomicInteger dials = new AtomicInteger();
        pools.connector().getFilterChain().addFirst("ends", new IoFilterAdapter() {
            @Override
            public void sessionCreated(NextFilter next, IoSession session) throws Exception {
                dials.incrementAndGet();
                session.closeNow();
                next.sessionCreated(session);
            }
        });
        assertEquals(AttemptOutcome.CONNECT_FAILED, told(start()).outcome);
        assertEquals(3, dials.get());
    }
}

package laurelkeel.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import laurelkeel.api.Ticks;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.FrontTestRig;
import laurelkeel.front.NodeRuntime;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The lifecycle of a stream, and what it does if the service is slow, silent or gone. */
class ReconnectingStreamTest {
    private static final long STEP_MILLIS = 100;
    private static final int MAX_PENDING_CONNECTIONS = 6;
    private static final char UNUSABLE = '!';

    private final TestClock clock = TestClock.stopped();
    private final NodeRuntime runtime = NodeRuntime.forSingleCore(clock);
    private final EventLoop loop = runtime.loop();
    private final ServiceConnector connector =
            new ServiceConnector(loop, runtime.socketThreads(), runtime.sharedProcessors());
    private PlatformTestBed.FakeServer server;

    private final BlockingQueue<String> messages = new LinkedBlockingQueue<>();
    private final AtomicInteger openedConnections = new AtomicInteger();

    /**
     * A protocol in which any received bytes are a message, which is unusable if it begins with {@link #UNUSABLE}, and whose
     * silence timeout is longer than a test.
     */
    private record TestProtocol(
            String serviceName, Queue<String> messages, AtomicInteger openedConnections, boolean resendsMessages)
            implements StreamProtocol {
        @Override
        public byte[] openingRequest() {
            openedConnections.incrementAndGet();
            return (serviceName + "\n").getBytes(StandardCharsets.US_ASCII);
        }

        @Override
        public StreamReader newReader() {
            return (bytes, arrivedAtTicks) -> {
                if (bytes[0] == UNUSABLE) {
                    throw new MalformedMessageException("message", "is unusable");
                }
                return messages.add(new String(bytes, StandardCharsets.US_ASCII));
            };
        }

        @Override
        public long silenceTimeoutTicks() {
            return 600 * Ticks.PER_SECOND;
        }
    }

    @BeforeEach
    void open() throws Exception {
        server = new PlatformTestBed.FakeServer();
        FrontTestRig.run(loop);
    }

    @AfterEach
    void close() throws Exception {
        loop.stop();
        connector.close();
        server.close();
    }

    private ReconnectingStream stream(String name, PlatformTestBed.FakeServer to) {
        return new ReconnectingStream(
                new TestProtocol(name, messages, openedConnections, false), connector, loop, 1, address(to));
    }

    private static InetSocketAddress address(PlatformTestBed.FakeServer to) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), to.listener.getLocalPort());
    }

    /** Returns the name of the stream whose connection the server accepts next. */
    private String nextStream() throws Exception {
        return PlatformTestBed.lineReader(server.nextConnection()).readLine();
    }

    @Test
    void aStreamThatIsClosedBeforeItsStartOpensNoConnection() throws Exception {
        ReconnectingStream closed = stream("closed", server);
        ReconnectingStream other = stream("other", server);
        loop.post(() -> {
            closed.close();
            closed.close();
            closed.start();
            closed.moveTo(new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));
            other.start();
        });
        assertEquals("other", nextStream());
        assertTrue(server.hasNoConnection());
    }

    @Test
    void aSecondStartOpensNoSecondConnection() throws Exception {
        ReconnectingStream twice = stream("twice", server);
        ReconnectingStream other = stream("other", server);
        loop.post(() -> {
            twice.start();
            twice.start();
            other.start();
        });
        assertEquals("twice", nextStream());
        assertEquals("other", nextStream());
    }

    @Test
    void aServiceThatMovesBeforeTheStartIsReachedAtItsNewAddress() throws Exception {
        try (PlatformTestBed.FakeServer oldServer = new PlatformTestBed.FakeServer()) {
            ReconnectingStream moved = stream("moved", oldServer);
            loop.post(() -> {
                moved.moveTo(address(server));
                moved.start();
            });
            assertEquals("moved", nextStream());
            assertTrue(oldServer.hasNoConnection());
        }
    }

    @Test
    void aConnectionThatWorkedIsReplacedAsSoonAsItEnds() throws Exception {
        ReconnectingStream stream = stream("stream", server);
        loop.post(stream::start);
        Socket first = server.nextConnection();
        PlatformTestBed.send(first, "message");
        assertEquals("stream", PlatformTestBed.lineReader(first).readLine());
        first.close();
        assertEquals("stream", nextStream());
    }

    /** Advances the clock in the steps of the stream's checks, each of which is made and opens its connection. */
    private void advance(long millis) throws Exception {
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            clock.advance(STEP_MILLIS * Ticks.PER_MILLISECOND);
            // due tasks run at the end of the turn in which a posted task has run
            runPostedTask();
            runPostedTask();
            FrontTestRig.await("all connections", () -> server.acceptedConnections() == openedConnections.get());
        }
    }

    private void runPostedTask() throws InterruptedException {
        CountDownLatch ran = new CountDownLatch(1);
        loop.post(ran::countDown);
        assertTrue(ran.await(10, TimeUnit.SECONDS));
    }

    private void assertMessage(String expected) throws InterruptedException {
        assertEquals(expected, messages.poll(10, TimeUnit.SECONDS));
    }

    /** Guards against a service that takes longer than some limit to respond never being heard. */
    @Test
    void aServiceThatRespondsLateIsHeardOnTheConnectionThatItRespondsOn() throws Exception {
        for (long delayMillis : List.of(600, 800, 1_000, 2_500, 5_000, 12_000, 29_000)) {
            ReconnectingStream stream = stream("late", server);
            loop.post(stream::start);
            Socket first = server.nextConnection();
            advance(delayMillis);
            PlatformTestBed.send(first, "after " + delayMillis);
            assertMessage("after " + delayMillis);
            runPostedTask();
            for (Socket other : server.takeConnections()) {
                FrontTestRig.await("only the current connection is open", () -> !isOpen(other));
            }
            loop.post(stream::close);
            runPostedTask();
        }
    }

    /** Guards against old connections taking the places of new ones, where a service has lost what it was asked before. */
    @Test
    void aServiceThatForgetsItsConnectionsIsHeardOnANewOne() throws Exception {
        for (long delayMillis : List.of(100, 1_000, 4_000)) {
            ReconnectingStream stream = stream("new", server);
            loop.post(stream::start);
            advance(20_000);
            server.takeConnections();
            while (server.hasNoConnection()) {
                advance(STEP_MILLIS);
            }
            Socket next = server.nextConnection();
            advance(delayMillis);
            PlatformTestBed.send(next, "again " + delayMillis);
            assertMessage("again " + delayMillis);
            loop.post(stream::close);
            runPostedTask();
        }
    }

    @Test
    void aServiceThatNeverRespondsHoldsFewConnections() throws Exception {
        ReconnectingStream stream = stream("silent", server);
        loop.post(stream::start);
        List<Socket> opened = new ArrayList<>();
        for (int second = 0; second < 90; second++) {
            advance(1_000);
            opened.addAll(server.takeConnections());
            FrontTestRig.await(
                    "at most " + MAX_PENDING_CONNECTIONS + " open connections",
                    () -> opened.stream().filter(ReconnectingStreamTest::isOpen).count() <= MAX_PENDING_CONNECTIONS);
        }
        assertTrue(opened.size() > 40, "opened only " + opened.size());
    }

    /** Returns whether a connection on which only the opening line was sent is still open. */
    private static boolean isOpen(Socket connection) {
        try {
            connection.setSoTimeout(1);
            while (connection.getInputStream().read() >= 0) {
                // the opening line
            }
            return false;
        } catch (SocketTimeoutException e) {
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Guards against a list that cannot be used being requested again without a pause. */
    @Test
    void aMessageThatIsUnusableAgainDelaysTheNextConnection() throws Exception {
        TestProtocol resending = new TestProtocol("resending", messages, openedConnections, true);
        ReconnectingStream stream = new ReconnectingStream(resending, connector, loop, 1, address(server));
        loop.post(stream::start);
        for (int i = 0; i < 2; i++) {
            Socket connection = server.nextConnection();
            assertEquals("resending", PlatformTestBed.lineReader(connection).readLine());
            PlatformTestBed.send(connection, "sign of life");
            assertMessage("sign of life");
            PlatformTestBed.send(connection, "!");
            assertEquals(-1, connection.getInputStream().read());
            runPostedTask();
        }
        assertEquals(2, openedConnections.get());
        advance(2_000);
        server.nextConnection();
    }
}

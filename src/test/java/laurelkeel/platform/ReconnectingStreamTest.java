package laurelkeel.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import laurelkeel.api.Ticks;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.FrontTestRig;
import laurelkeel.front.NodeRuntime;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The lifecycle of a stream: usable when constructed, started once, closed at any time. */
class ReconnectingStreamTest {
    private final NodeRuntime runtime = NodeRuntime.forSingleCore(NodeRuntime.monotonicClock());
    private final EventLoop loop = runtime.loop();
    private final ServiceConnector connector =
            new ServiceConnector(loop, runtime.socketThreads(), runtime.sharedProcessors());
    private PlatformTestBed.FakeServer server;

    /** A protocol in which any received bytes are a message, and whose silence timeout is longer than a test. */
    private record TestProtocol(String serviceName) implements StreamProtocol {
        @Override
        public byte[] openingRequest() {
            return (serviceName + "\n").getBytes(StandardCharsets.US_ASCII);
        }

        @Override
        public StreamReader newReader() {
            return (bytes, arrivedAtTicks) -> true;
        }

        @Override
        public long silenceTimeoutTicks() {
            return 60 * Ticks.PER_SECOND;
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
        return new ReconnectingStream(new TestProtocol(name), connector, loop, 1, address(to));
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
}

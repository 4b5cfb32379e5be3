package laurelkeel.front.upstream;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.eventloop.LoopThreads;
import laurelkeel.front.FrontTestPeers;
import laurelkeel.front.NodeRuntime;
import laurelkeel.wire.HttpLimits;
import laurelkeel.wire.UnexpectedInputProcessor;
import org.apache.mina.core.filterchain.IoFilterAdapter;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.core.session.IoSession;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A response that states a length that is too short must not be served in part, however its bytes are split into reads. */
class ResponseLengthTest {
    private static final HttpLimits LIMITS = new HttpLimits(1 << 10, 8 << 10, 64, 64 << 10);
    private static final String INTERIM = "HTTP/1.1 100 Continue\r\n\r\n";
    private static final List<Integer> FIRST_READ_BUFFER_BYTES = List.of(1 << 10, 2 << 10);

    private final EventLoop loop = new EventLoop(NodeRuntime.monotonicClock());
    private final ExecutorService threads = LoopThreads.cachedPool(loop, "test-sockets");
    private final ConnectionPools pools = new ConnectionPools(
            new UpstreamSettings(LIMITS, 8, 8, 8, 600_000, 600_000, 1, "/load", 2_500, 0),
            new CompletedOrLost(),
            loop,
            threads,
            new SimpleIoProcessorPool<>(UnexpectedInputProcessor.class, threads, 1, null));
    private final Thread loopThread = new Thread(() -> loop.run(() -> false));
    private final ServerSocket server;
    private final EndpointAddress address;
    /** Blocks the I/O thread once it has read an interim response; null if it is not to be blocked. */
    private volatile CountDownLatch responseSent = new CountDownLatch(0);

    ResponseLengthTest() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        server.setSoTimeout(10_000);
        address = new EndpointAddress("m", new InetSocketAddress(server.getInetAddress(), server.getLocalPort()));
        pools.connector().getFilterChain().addFirst("block", new IoFilterAdapter() {
            @Override
            public void messageReceived(NextFilter next, IoSession session, Object message) throws Exception {
                next.messageReceived(session, message);
                responseSent.await();
            }
        });
        loopThread.start();
    }

    @AfterEach
    void close() throws Exception {
        loop.stop();
        loopThread.join();
        pools.close();
        server.close();
    }

    /** The outcome of an exchange; the body is null unless a response was read. */
    private record Ended(AttemptOutcome outcome, String body) {}

    private static String withLength(int length, String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n" + body;
    }

    private static String withChunk(String chunk, String surplus) {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(chunk.length()) + "\r\n"
                + chunk + "\r\n0\r\n\r\n" + surplus;
    }

    /** Returns the outcome of an exchange whose response has arrived as a whole before any of it is read. */
    private Ended exchange(String response) throws Exception {
        responseSent = new CountDownLatch(1);
        CompletableFuture<Ended> ended = new CompletableFuture<>();
        loop.post(() -> pools.startExchange(
                address,
                () -> "GET / HTTP/1.1\r\n\r\n".getBytes(US_ASCII),
                false,
                (outcome, received) -> ended.complete(new Ended(
                        outcome,
                        received == null
                                ? null
                                : new String(received.forwarded().body(), US_ASCII)))));
        try (Socket connection = server.accept()) {
            FrontTestPeers.receive(connection);
            FrontTestPeers.send(connection, INTERIM);
            FrontTestPeers.send(connection, response);
            responseSent.countDown();
            Ended result = ended.get(10, TimeUnit.SECONDS);
            // a connection with surplus input is closed, so that the next exchange opens its own
            assertEquals(-1, connection.getInputStream().read());
            return result;
        }
    }

    private static void assertNotServed(String what, Ended ended) {
        assertEquals(new Ended(AttemptOutcome.CONNECTION_LOST, null), ended, what);
    }

    /**
     * Returns lengths with which a response ends near the end of a read buffer, for each sequence of buffers that double in
     * size from one of the smallest ones.
     */
    private static List<Integer> lengthsAroundReadBuffers() {
        List<Integer> lengths = new ArrayList<>(List.of(0, 1, 30));
        for (int first : FIRST_READ_BUFFER_BYTES) {
            int end = 0;
            for (int buffer = first; end + buffer < LIMITS.maxBodyBytes(); buffer = Math.min(2 * buffer, 32 << 10)) {
                end += buffer;
                int headBytes = withLength(end, "").length();
                for (int offset = -9; offset <= 1; offset++) {
                    lengths.add(end - headBytes + offset);
                }
            }
        }
        return lengths;
    }

    @Test
    void aResponseWhoseLengthIsTooShortIsNotServedInPart() throws Exception {
        for (int length : lengthsAroundReadBuffers()) {
            for (int missing : List.of(1, 6, 3_000)) {
                assertNotServed(
                        missing + " bytes behind " + length,
                        exchange(withLength(length, "x".repeat(length + missing))));
            }
        }
    }

    @Test
    void aChunkedResponseThatGoesOnBehindItsLastChunkIsNotServedInPart() throws Exception {
        for (int length : lengthsAroundReadBuffers()) {
            if (length > 0) {
                assertNotServed("chunk of " + length, exchange(withChunk("x".repeat(length), "3\r\nend\r\n0\r\n\r\n")));
            }
        }
    }

    @Test
    void aResponseWithASecondCopyBehindItIsServed() throws Exception {
        for (int length : lengthsAroundReadBuffers()) {
            String body = "x".repeat(length);
            String response = withLength(length, body);
            assertEquals(new Ended(AttemptOutcome.COMPLETED, body), exchange(response + response), "copy of " + length);
        }
    }
}

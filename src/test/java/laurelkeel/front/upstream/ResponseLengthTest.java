package laurelkeel.front.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.front.FrontTestPeers;
import laurelkeel.front.upstream.ConnectionPoolsTestBed.Ended;
import laurelkeel.wire.HttpLimits;
import org.apache.mina.core.filterchain.IoFilterAdapter;
import org.apache.mina.core.session.IoSession;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A response that states a length that is too short must not be served in part, however its bytes are split into reads. */
class ResponseLengthTest {
    private static final HttpLimits LIMITS = new HttpLimits(1 << 10, 8 << 10, 64, 64 << 10);
    private static final String INTERIM = "HTTP/1.1 100 Continue\r\n\r\n";
    private static final List<Integer> FIRST_READ_BUFFER_BYTES = List.of(1 << 10, 2 << 10);

    private final ConnectionPoolsTestBed testBed = new ConnectionPoolsTestBed(LIMITS, 0);
    /** Blocks the I/O thread after each read until the endpoint has sent its whole response. */
    private volatile CountDownLatch responseSent = new CountDownLatch(0);

    /** Counts the reads that have been handled. */
    private final Semaphore reads = new Semaphore(0);

    ResponseLengthTest() throws IOException {
        testBed.pools.connector().getFilterChain().addFirst("block", new IoFilterAdapter() {
            @Override
            public void messageReceived(NextFilter next, IoSession session, Object message) throws Exception {
                next.messageReceived(session, message);
                reads.release();
                responseSent.await();
            }
        });
    }

    @AfterEach
    void close() throws Exception {
        testBed.close();
    }

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
        CompletableFuture<Ended> ended = testBed.startExchange();
        try (Socket connection = testBed.server.accept()) {
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

    /** Returns the outcome of an exchange whose response arrives in two parts, the second after the first has been read. */
    private Ended exchangeInParts(String first, String second) throws Exception {
        testBed.clock.stop();
        reads.drainPermits();
        CompletableFuture<Ended> ended = testBed.startExchange();
        try (Socket connection = testBed.server.accept()) {
            FrontTestPeers.receive(connection);
            FrontTestPeers.send(connection, first);
            assertTrue(reads.tryAcquire(10, TimeUnit.SECONDS));
            FrontTestPeers.send(connection, second);
            Ended result = ended.get(10, TimeUnit.SECONDS);
            assertEquals(-1, connection.getInputStream().read());
            return result;
        }
    }

    /** Guards against a response being served with an empty body because its body is read after its head. */
    @Test
    void aBodyBehindAResponseThatStatesAnEmptyOneIsNotServedAsEmpty() throws Exception {
        String emptyChunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
        for (String empty : List.of(withLength(0, ""), INTERIM + withLength(0, ""), emptyChunked)) {
            for (String rest : List.of("b", "body", "\r\n", "HTTP")) {
                assertNotServed(empty + rest, exchangeInParts(empty, rest));
            }
        }
    }

    /** Guards against a second copy being taken for the body because it is read after the response. */
    @Test
    void anEmptyResponseIsServedIfASecondCopyIsReadAfterIt() throws Exception {
        String response = withLength(0, "");
        assertEquals(new Ended(AttemptOutcome.COMPLETED, ""), exchangeInParts(response, response));
    }

    @Test
    void anEmptyResponseIsServedIfNothingFollowsItOrItsConnectionEnds() throws Exception {
        for (boolean closes : List.of(true, false)) {
            CompletableFuture<Ended> ended = testBed.startExchange();
            try (Socket connection = testBed.server.accept()) {
                FrontTestPeers.receive(connection);
                FrontTestPeers.send(connection, withLength(0, ""));
                if (closes) {
                    connection.shutdownOutput();
                }
                assertEquals(new Ended(AttemptOutcome.COMPLETED, ""), ended.get(10, TimeUnit.SECONDS));
            }
        }
    }
}

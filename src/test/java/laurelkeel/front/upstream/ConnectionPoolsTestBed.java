package laurelkeel.front.upstream;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.eventloop.LoopThreads;
import laurelkeel.platform.TestClock;
import laurelkeel.wire.HttpLimits;
import laurelkeel.wire.UnexpectedInputProcessor;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.jspecify.annotations.Nullable;

/** Connection pools on a running event loop, and one endpoint whose bytes a test writes. */
final class ConnectionPoolsTestBed implements AutoCloseable {
    /** Far longer than a test, so that the connect timeout never ends an exchange here. */
    private static final long CONNECT_TIMEOUT_TICKS = 600_000;

    final TestClock clock = TestClock.running();
    final EventLoop loop = new EventLoop(clock);
    final ConnectionPools pools;
    final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final EndpointAddress address =
            new EndpointAddress("m", new InetSocketAddress(server.getInetAddress(), server.getLocalPort()));
    private final Thread loopThread = new Thread(() -> loop.run(() -> false));

    /** The result of an exchange; the body is null unless a response was read. */
    record Ended(AttemptOutcome outcome, @Nullable String body) {}

    ConnectionPoolsTestBed(HttpLimits limits, long reuseDelayTicks) throws IOException {
        ExecutorService threads = LoopThreads.cachedPool(loop, "test-sockets");
        pools = new ConnectionPools(
                new UpstreamSettings(
                        limits, 8, 8, 8, CONNECT_TIMEOUT_TICKS, 600_000, 1, "/load", 2_500, reuseDelayTicks),
                new CompletedOrLost(),
                loop,
                threads,
                new SimpleIoProcessorPool<>(UnexpectedInputProcessor.class, threads, 1, null));
        server.setSoTimeout(10_000);
        loopThread.start();
    }

    /** Starts an exchange with the endpoint and returns its result. */
    CompletableFuture<Ended> startExchange() {
        CompletableFuture<Ended> ended = new CompletableFuture<>();
        loop.post(() -> pools.startExchange(
                address,
                () -> "GET / HTTP/1.1\r\n\r\n".getBytes(UTF_8),
                (outcome, response) -> ended.complete(new Ended(
                        outcome,
                        response == null || response.forwarded() == null
                                ? null
                                : new String(response.forwarded().body(), UTF_8)))));
        return ended;
    }

    @Override
    public void close() throws Exception {
        loop.stop();
        loopThread.join();
        pools.close();
        server.close();
    }
}

package laurelkeel.bench;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import laurelkeel.testbed.PortAllocator;
import laurelkeel.wire.Headers;
import laurelkeel.wire.HttpCodec;
import laurelkeel.wire.HttpLimits;
import laurelkeel.wire.HttpRequest;
import laurelkeel.wire.HttpResponse;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/** Machines that answer at once, so that what is measured is what stands before them. */
final class EchoServers implements AutoCloseable {
    private final ExecutorService threads = Executors.newCachedThreadPool(r -> {
        Thread t = new Thread(r, "echo");
        t.setDaemon(true);
        return t;
    });
    private final SimpleIoProcessorPool<NioSession> processors =
            new SimpleIoProcessorPool<>(NioProcessor.class, threads, 2, null);
    private final List<NioSocketAcceptor> acceptors = new ArrayList<>();
    final List<Integer> ports = new ArrayList<>();

    EchoServers(int machines) throws IOException {
        byte[] body = new byte[100];
        for (int i = 0; i < machines; i++) {
            NioSocketAcceptor a = new NioSocketAcceptor(threads, processors);
            a.setReuseAddress(true);
            a.getSessionConfig().setTcpNoDelay(true);
            a.getFilterChain().addLast("http", HttpCodec.server(HttpLimits.DEFAULT));
            a.setHandler(new IoHandlerAdapter() {
                @Override
                public void messageReceived(IoSession session, Object message) {
                    if (message instanceof HttpRequest) {
                        session.write(new HttpResponse(
                                200,
                                Headers.of("Content-Type", "text/plain", "Laurelkeel-Load", "concurrent=1"),
                                body));
                    }
                }

                @Override
                public void exceptionCaught(IoSession session, Throwable cause) {
                    session.closeNow();
                }
            });
            int port = PortAllocator.allocate();
            a.bind(new InetSocketAddress("127.0.0.1", port));
            acceptors.add(a);
            ports.add(port);
        }
    }

    @Override
    public void close() {
        acceptors.forEach(a -> a.dispose(false));
        processors.dispose();
        threads.shutdown();
    }
}

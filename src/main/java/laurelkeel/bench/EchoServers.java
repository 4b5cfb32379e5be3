package laurelkeel.bench;

import java.io.IOException;
import java.net.InetAddress;
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

/** Endpoints that answer immediately, so that measurements show the cost of the relay or front node before them. */
final class EchoServers implements AutoCloseable {
    private static final int PROCESSORS = 2;
    private static final int BODY_BYTES = 100;

    private final ExecutorService threads = Executors.newCachedThreadPool(EchoServers::newDaemon);
    private final SimpleIoProcessorPool<NioSession> processors =
            new SimpleIoProcessorPool<>(NioProcessor.class, threads, PROCESSORS, null);
    private final List<NioSocketAcceptor> acceptors = new ArrayList<>();
    private final List<Integer> ports = new ArrayList<>();

    EchoServers(int endpoints) throws IOException {
        for (int i = 0; i < endpoints; i++) {
            int port = PortAllocator.allocate();
            listen(port);
            ports.add(port);
        }
    }

    private static Thread newDaemon(Runnable work) {
        Thread thread = new Thread(work, "echo");
        thread.setDaemon(true);
        return thread;
    }

    private void listen(int port) throws IOException {
        NioSocketAcceptor acceptor = new NioSocketAcceptor(threads, processors);
        acceptors.add(acceptor);
        acceptor.setReuseAddress(true);
        acceptor.getSessionConfig().setTcpNoDelay(true);
        acceptor.getFilterChain().addLast("http", HttpCodec.server(HttpLimits.DEFAULT));
        acceptor.setHandler(new Responder());
        acceptor.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    /** Returns the loopback ports of all endpoints. */
    List<Integer> ports() {
        return ports;
    }

    private static final class Responder extends IoHandlerAdapter {
        private final byte[] body = new byte[BODY_BYTES];

        @Override
        public void messageReceived(IoSession session, Object message) {
            if (message instanceof HttpRequest) {
                Headers headers = Headers.of("Content-Type", "text/plain", "Laurelkeel-Load", "concurrent=1");
                session.write(new HttpResponse(200, headers, body));
            }
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            session.closeNow();
        }
    }

    @Override
    public void close() {
        acceptors.forEach(acceptor -> acceptor.dispose(false));
        processors.dispose();
        threads.shutdown();
    }
}

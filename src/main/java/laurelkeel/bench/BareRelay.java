package laurelkeel.bench;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import laurelkeel.admin.AdminServer;
import laurelkeel.admin.ProcessMetrics;
import laurelkeel.wire.HttpCodec;
import laurelkeel.wire.HttpLimits;
import laurelkeel.wire.HttpRequest;
import laurelkeel.wire.HttpResponse;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import org.apache.mina.transport.socket.nio.NioSocketConnector;

/**
 * The simplest possible replacement for a front node, as the baseline of its measurements. It uses the same codecs and
 * sockets and sends requests to the endpoints in turn, but has no timeouts, no limits, no retries, and only metrics of
 * the process. Thread-safe.
 */
public final class BareRelay {
    private static final int PROCESSORS = 2;
    private static final int BACKLOG = 8192;
    private static final AttributeKey CLIENT = new AttributeKey(BareRelay.class, "client");
    private static final AttributeKey ENDPOINT = new AttributeKey(BareRelay.class, "endpoint");

    private record Endpoint(InetSocketAddress address, ConcurrentLinkedDeque<IoSession> idleSessions) {}

    private final List<Endpoint> endpoints;
    private final AtomicInteger nextEndpoint = new AtomicInteger();
    private final NioSocketConnector connector = new NioSocketConnector(PROCESSORS);
    private final NioSocketAcceptor acceptor = new NioSocketAcceptor(PROCESSORS);

    /**
     * Starts a relay, which runs until the process ends.
     *
     * @param port loopback port for clients
     * @param adminPort loopback port for metrics
     * @param endpointPorts loopback ports of the endpoints
     * @throws IOException if a port cannot be opened
     */
    public BareRelay(int port, int adminPort, List<Integer> endpointPorts) throws IOException {
        endpoints = endpointPorts.stream()
                .map(endpointPort -> new Endpoint(loopback(endpointPort), new ConcurrentLinkedDeque<>()))
                .toList();
        connector.getSessionConfig().setTcpNoDelay(true);
        connector.getFilterChain().addLast("http", HttpCodec.client(HttpLimits.DEFAULT));
        connector.setHandler(new ResponseForwarder());
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(BACKLOG);
        acceptor.getSessionConfig().setTcpNoDelay(true);
        acceptor.getFilterChain().addLast("http", HttpCodec.server(HttpLimits.DEFAULT));
        acceptor.setHandler(new RequestForwarder());
        new AdminServer(Executors.newCachedThreadPool(), loopback(adminPort), () -> "ok", BareRelay::metrics).start();
        acceptor.bind(loopback(port));
    }

    private static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private static String metrics() {
        return String.format(
                Locale.ROOT,
                "laurelkeel_process_cpu_seconds %f%nlaurelkeel_allocated_bytes %f%nlaurelkeel_heap_bytes %f%n",
                ProcessMetrics.cpuSeconds(),
                ProcessMetrics.allocatedBytes(),
                ProcessMetrics.heapBytes());
    }

    /** Forwards each request of a client to the next endpoint. */
    private final class RequestForwarder extends IoHandlerAdapter {
        @Override
        public void messageReceived(IoSession client, Object message) {
            if (!(message instanceof HttpRequest request)) {
                return;
            }
            Endpoint endpoint = endpoints.get(Math.floorMod(nextEndpoint.getAndIncrement(), endpoints.size()));
            IoSession idle = endpoint.idleSessions.pollFirst();
            if (idle != null && !idle.isClosing()) {
                idle.setAttribute(CLIENT, client);
                idle.write(request);
                return;
            }
            connector
                    .connect(endpoint.address)
                    .addListener(future -> connectFinished((ConnectFuture) future, endpoint, client, request));
        }

        private void connectFinished(ConnectFuture future, Endpoint endpoint, IoSession client, HttpRequest request) {
            if (future.isConnected()) {
                IoSession session = future.getSession();
                session.setAttribute(ENDPOINT, endpoint);
                session.setAttribute(CLIENT, client);
                session.write(request);
            } else {
                client.closeNow();
            }
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            session.closeNow();
        }
    }

    /** Forwards each response of an endpoint to the client whose request was sent last on that connection. */
    private static final class ResponseForwarder extends IoHandlerAdapter {
        @Override
        public void messageReceived(IoSession session, Object message) {
            if (message instanceof HttpResponse response) {
                IoSession client = (IoSession) session.getAttribute(CLIENT);
                ((Endpoint) session.getAttribute(ENDPOINT)).idleSessions.addFirst(session);
                client.write(response);
            }
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            session.closeNow();
        }
    }
}

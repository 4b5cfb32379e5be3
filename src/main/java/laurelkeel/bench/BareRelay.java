package laurelkeel.bench;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
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
 * The least that could stand in a front's place: the same codecs and sockets, machines in turn, and nothing else: no
 * time-outs, no limits, no second try, no counts. The bar that the front is held against.
 */
public final class BareRelay {
    private static final AttributeKey CLIENT = new AttributeKey(BareRelay.class, "client");
    private static final AttributeKey POOL = new AttributeKey(BareRelay.class, "pool");

    private record Machine(InetSocketAddress at, ConcurrentLinkedDeque<IoSession> idle) {}

    private final List<Machine> machines = new ArrayList<>();
    private final AtomicInteger turn = new AtomicInteger();
    private final NioSocketConnector connector = new NioSocketConnector(2);
    private final NioSocketAcceptor acceptor = new NioSocketAcceptor(2);

    public BareRelay(int listen, int admin, List<Integer> ports) throws IOException {
        ports.forEach(
                p -> machines.add(new Machine(new InetSocketAddress("127.0.0.1", p), new ConcurrentLinkedDeque<>())));
        connector.getSessionConfig().setTcpNoDelay(true);
        connector.getFilterChain().addLast("http", HttpCodec.client(HttpLimits.DEFAULT));
        connector.setHandler(new Upstream());
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(8192);
        acceptor.getSessionConfig().setTcpNoDelay(true);
        acceptor.getFilterChain().addLast("http", HttpCodec.server(HttpLimits.DEFAULT));
        acceptor.setHandler(new Clients());
        new AdminServer(
                        Executors.newCachedThreadPool(),
                        new InetSocketAddress("127.0.0.1", admin),
                        () -> "ok",
                        () -> String.format(
                                Locale.ROOT,
                                "laurelkeel_process_cpu_seconds %f%nlaurelkeel_allocated_bytes %f%nlaurelkeel_heap_bytes %f%n",
                                ProcessMetrics.cpuSeconds(),
                                ProcessMetrics.allocatedBytes(),
                                ProcessMetrics.heapBytes()))
                .start();
        acceptor.bind(new InetSocketAddress("127.0.0.1", listen));
    }

    private final class Clients extends IoHandlerAdapter {
        @Override
        public void messageReceived(IoSession client, Object message) {
            if (!(message instanceof HttpRequest r)) {
                return;
            }
            Machine m = machines.get(Math.floorMod(turn.getAndIncrement(), machines.size()));
            IoSession idle = m.idle.pollFirst();
            if (idle != null && !idle.isClosing()) {
                idle.setAttribute(CLIENT, client);
                idle.write(r);
                return;
            }
            connector.connect(m.at).addListener(f -> {
                ConnectFuture c = (ConnectFuture) f;
                if (c.isConnected()) {
                    c.getSession().setAttribute(POOL, m.idle);
                    c.getSession().setAttribute(CLIENT, client);
                    c.getSession().write(r);
                } else {
                    client.closeNow();
                }
            });
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            session.closeNow();
        }
    }

    private static final class Upstream extends IoHandlerAdapter {
        @Override
        @SuppressWarnings("unchecked")
        public void messageReceived(IoSession machine, Object message) {
            if (message instanceof HttpResponse a) {
                IoSession client = (IoSession) machine.getAttribute(CLIENT);
                ((ConcurrentLinkedDeque<IoSession>) machine.getAttribute(POOL)).addFirst(machine);
                client.write(a);
            }
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            session.closeNow();
        }
    }
}

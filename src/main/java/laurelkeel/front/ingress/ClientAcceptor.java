package laurelkeel.front.ingress;

import java.nio.channels.ServerSocketChannel;
import java.util.Iterator;
import java.util.concurrent.Executor;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/**
 * An acceptor that takes, before it closes its listener, the connections that the kernel has accepted and nobody has
 * taken yet: the close would reset them, with the reqs that their clients have sent there.
 */
final class LastCall extends NioSocketAcceptor {
    private final SimpleIoProcessorPool<NioSession> processors;

    LastCall(Executor threads, SimpleIoProcessorPool<NioSession> processors) {
        super(threads, processors);
        this.processors = processors;
    }

    /** By the acceptor's thread, which selects too. */
    @Override
    protected void close(ServerSocketChannel handle) throws Exception {
        boolean more = true;
        while (more) {
            // woken ahead, so that it looks without waiting
            wakeup();
            more = select() > 0;
            for (Iterator<ServerSocketChannel> ready = selectedHandles(); ready.hasNext();) {
                ServerSocketChannel each = ready.next();
                ready.remove();
                NioSession session = accept(processors, each);
                if (session != null) {
                    initSession(session, null, null);
                    processors.add(session);
                }
            }
        }
        super.close(handle);
    }
}

package laurelkeel.front.ingress;

import java.util.ArrayList;
import java.util.List;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.wire.ForwardedMessage;
import laurelkeel.wire.HttpResponse;
import laurelkeel.wire.MessageBuilder;
import org.apache.mina.core.buffer.IoBuffer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Collects the responses of one turn of the event loop and writes them together at its end. The first write to an I/O thread
 * wakes it, which costs a system call; writes that follow closely find the thread awake.
 *
 * <p>Not thread-safe; called on the event loop's thread.
 */
final class ResponseSender {
    private static final Logger LOG = LoggerFactory.getLogger(ResponseSender.class);

    private final EventLoop loop;
    private final IngressListener listener;
    private final RequestPipeline pipeline;
    private final List<Runnable> pendingWrites = new ArrayList<>();

    ResponseSender(EventLoop loop, IngressListener listener, RequestPipeline pipeline) {
        this.loop = loop;
        this.listener = listener;
        this.pipeline = pipeline;
    }

    /** See {@link Ingress#answer}. */
    void answer(ClientConnection connection, boolean last, HttpResponse response) {
        boolean closes = last || listener.isClosingConnections();
        if (closes) {
            response.headers().add("Connection", "close");
        }
        enqueue(connection, () -> {
            if (!connection.isClosed()) {
                connection.write(response, closes);
            }
        });
    }

    /** See {@link Ingress#forward}. */
    void forward(
            ClientConnection connection,
            boolean last,
            ForwardedMessage response,
            MessageBuilder ownHeaders,
            Runnable onDone) {
        boolean closes = last || listener.isClosingConnections();
        if (closes) {
            ownHeaders.appendHeader("Connection", "close");
        }
        byte[] bytes = response.assemble(ownHeaders, !connection.isHeadRequest());
        enqueue(connection, () -> {
            if (connection.isClosed()) {
                onDone.run();
            } else {
                connection.write(IoBuffer.wrap(bytes), closes).addListener(done -> onDone.run());
            }
        });
    }

    /** Adds the write of the final response of the request in progress. */
    private void enqueue(ClientConnection connection, Runnable response) {
        connection.setCurrentToken(null);
        pendingWrites.add(() -> write(connection, response));
    }

    /** Writes the collected responses and those that these writes lead to. */
    void flush() {
        // by index, because a write may add a further response to the list
        for (int i = 0; i < pendingWrites.size(); i++) {
            try {
                pendingWrites.get(i).run();
            } catch (RuntimeException e) {
                LOG.error("failed to write a response", e);
            }
        }
        pendingWrites.clear();
    }

    private void write(ClientConnection connection, Runnable response) {
        response.run();
        connection.setIdleSinceTicks(loop.nowTicks());
        pipeline.answered(connection);
        connection.setRequestInProgress(false);
        pipeline.startNext(connection);
    }
}

package laurelkeel.front.ingress;

import laurelkeel.wire.ByteBudget;
import laurelkeel.wire.HttpProtocolException;
import laurelkeel.wire.HttpRequest;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Interprets what the codec has read from clients. Thread-safe; called on the I/O threads, so that the event loop's thread
 * need not parse headers.
 */
final class RequestReader {
    private static final Logger LOG = LoggerFactory.getLogger(RequestReader.class);
    private static final int SERVICE_UNAVAILABLE = 503;

    private final ClientProtocol protocol;
    private final EarlyRejections rejections;
    private final ByteBudget bodyBudget;

    RequestReader(ClientProtocol protocol, EarlyRejections rejections, ByteBudget bodyBudget) {
        this.protocol = protocol;
        this.rejections = rejections;
        this.bodyBudget = bodyBudget;
    }

    /** Interprets a request, and releases its body unless it is one for a route. */
    PipelinedMessage read(ClientConnection connection, HttpRequest request, long arrivedTicks) {
        PipelinedMessage message = interpret(connection, request, arrivedTicks);
        if (!(message instanceof PipelinedMessage.Routed)) {
            discard(request);
        }
        return message;
    }

    /** Releases the body of a request that is not accepted. */
    void discard(HttpRequest request) {
        bodyBudget.release(request.body().length);
    }

    private PipelinedMessage interpret(ClientConnection connection, HttpRequest request, long arrivedTicks) {
        try {
            return protocol.isNodeRequest(request)
                    ? new PipelinedMessage.ForNode(request)
                    : new PipelinedMessage.Routed(protocol.parseRequest(request), arrivedTicks);
        } catch (HttpProtocolException e) {
            return rejected(e, request);
        } catch (RuntimeException e) {
            // it was read, so that its client is owed a response
            LOG.error("client connection {}: cannot interpret a request", connection.id(), e);
            return rejected(new HttpProtocolException(500, "an error of this front; nothing was done"), request);
        }
    }

    /** Returns the response to input that is not a valid request, after which the connection cannot be read on. */
    PipelinedMessage unreadable(HttpProtocolException failure) {
        return rejected(failure, null);
    }

    private PipelinedMessage.Rejected rejected(HttpProtocolException failure, @Nullable HttpRequest request) {
        if (failure.status() == SERVICE_UNAVAILABLE) {
            return new PipelinedMessage.Rejected(
                    rejections.reject("this front has no room for more bodies", true), false, true);
        }
        return new PipelinedMessage.Rejected(
                protocol.badRequest(failure, request),
                request != null && request.method().equals("HEAD"),
                request == null || request.closesConnection());
    }
}

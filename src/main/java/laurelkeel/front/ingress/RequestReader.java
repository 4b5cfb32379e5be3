package laurelkeel.front.ingress;

import laurelkeel.wire.ByteBudget;
import laurelkeel.wire.HttpProtocolException;
import laurelkeel.wire.HttpRequest;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Interprets the requests that the codec has read from clients. Thread-safe; called on the I/O threads, so that the event
 * loop's thread does not spend time on parsing headers.
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

    /** Interprets a request, and releases its body unless the request is for a route. */
    PipelinedMessage read(ClientConnection connection, HttpRequest request, long arrivedTicks) {
        PipelinedMessage message = interpret(connection, request, arrivedTicks);
        if (!(message instanceof PipelinedMessage.RoutedRequest)) {
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
                    ? new PipelinedMessage.NodeRequest(request)
                    : new PipelinedMessage.RoutedRequest(protocol.parseRequest(request), arrivedTicks);
        } catch (HttpProtocolException e) {
            return reject(e, request);
        } catch (RuntimeException e) {
            // the request was read, so its client must get a response
            LOG.error("client connection {}: internal error while interpreting a request", connection.id(), e);
            return reject(new HttpProtocolException(500, "an error of this front; nothing was done"), request);
        }
    }

    /** Rejects input that cannot be parsed as a request; nothing after it on the connection can be read. */
    PipelinedMessage rejectUnreadable(HttpProtocolException failure) {
        return reject(failure, null);
    }

    private PipelinedMessage.Rejected reject(HttpProtocolException failure, @Nullable HttpRequest request) {
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

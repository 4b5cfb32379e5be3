package laurelkeel.testbed;

import org.apache.mina.core.session.IoSession;
import org.jspecify.annotations.Nullable;

/**
 * A client's connection to a node, with at most one request at a time. Not thread-safe; used on the generator's loop.
 */
final class GeneratorConnection {
    final int nodeIndex;
    final IoSession session;
    private @Nullable GeneratedRequest currentRequest;
    private String lastRequestId = "";
    private boolean isAbandoned;

    GeneratorConnection(int nodeIndex, IoSession session) {
        this.nodeIndex = nodeIndex;
        this.session = session;
    }

    /** Sets the request that is about to be sent. */
    void assign(GeneratedRequest request) {
        currentRequest = request;
        lastRequestId = request.requestId;
    }

    /** Returns the request that still waits for its response; null for none. */
    @Nullable
    GeneratedRequest currentRequest() {
        return currentRequest;
    }

    /** Returns the ID of the request sent last; empty for none. */
    String lastRequestId() {
        return lastRequestId;
    }

    void clearRequest() {
        currentRequest = null;
    }

    /** Closes the connection without a response; a response that is still in transit is ignored. */
    void abandon() {
        currentRequest = null;
        isAbandoned = true;
        session.closeNow();
    }

    boolean isAbandoned() {
        return isAbandoned;
    }
}

package laurelkeel.testbed;

import org.apache.mina.core.session.IoSession;
import org.jspecify.annotations.Nullable;

/** A client's connection to a node, with at most one request at a time. Not thread-safe; used on the generator's loop. */
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

    /** Takes a request that is about to be sent. */
    void assign(GeneratedRequest request) {
        currentRequest = request;
        lastRequestId = request.requestId;
    }

    /** The request without a response so far; null for none. */
    @Nullable
    GeneratedRequest currentRequest() {
        return currentRequest;
    }

    /** The request sent last; empty for none. */
    String lastRequestId() {
        return lastRequestId;
    }

    void clearRequest() {
        currentRequest = null;
    }

    /** Closes with the request unanswered; a response that is still on its way is not looked at. */
    void abandon() {
        currentRequest = null;
        isAbandoned = true;
        session.closeNow();
    }

    boolean isAbandoned() {
        return isAbandoned;
    }
}

package laurelkeel.front.ingress;

import laurelkeel.wire.HttpRequest;
import laurelkeel.wire.HttpResponse;

/** What was read off a client's connection and is answered in its turn there. */
sealed interface PipelinedMessage {
    /**
     * A request for a route.
     *
     * @param arrivedTicks when its last byte was read
     */
    record Routed(ClientRequest request, long arrivedTicks) implements PipelinedMessage {}

    /** A request to the node itself; its body is released already. */
    record ForNode(HttpRequest request) implements PipelinedMessage {}

    /**
     * Input that gets a response without any decision: invalid, or without memory for its body.
     *
     * @param headRequest whether the response has no body on the wire
     * @param closesConnection whether the response is the last on its connection
     */
    record Rejected(HttpResponse response, boolean headRequest, boolean closesConnection) implements PipelinedMessage {}
}

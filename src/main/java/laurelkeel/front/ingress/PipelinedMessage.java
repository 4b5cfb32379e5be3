package laurelkeel.front.ingress;

import laurelkeel.wire.HttpRequest;
import laurelkeel.wire.HttpResponse;

/** Input from a client's connection that is answered in the order in which it arrived. */
sealed interface PipelinedMessage {
    /**
     * A request for a route.
     *
     * @param arrivedTicks time when its last byte was read
     */
    record RoutedRequest(ClientRequest request, long arrivedTicks) implements PipelinedMessage {}

    /** A request to the node itself, whose body has been released already. */
    record NodeRequest(HttpRequest request) implements PipelinedMessage {}

    /**
     * Input that is rejected before any routing decision: an invalid request, or one for whose body no memory is available.
     *
     * @param headRequest whether it is the response to a HEAD request, which has no body on the wire
     * @param closesConnection whether the response is the last on its connection
     */
    record Rejected(HttpResponse response, boolean headRequest, boolean closesConnection) implements PipelinedMessage {}
}

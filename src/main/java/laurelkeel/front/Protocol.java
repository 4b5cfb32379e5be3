package laurelkeel.front;

import laurelkeel.front.ingress.ClientProtocol;
import laurelkeel.front.upstream.EndpointProtocol;
import laurelkeel.wire.MessageBuilder;

/** The protocol of a front node to clients and endpoints. It translates messages and makes no decisions. */
public interface Protocol extends ClientProtocol, EndpointProtocol {
    /**
     * Adds this hop's headers to a request on its way to an endpoint.
     *
     * @param attempt number of the attempt, from 0
     * @param remainingTicks time until the client's deadline
     * @param timeoutTicks time until the attempt times out
     */
    void writeAttemptHeaders(
            MessageBuilder message, String endpointId, int attempt, long remainingTicks, long timeoutTicks);

    /**
     * Adds this hop's headers to an endpoint's response on its way to the client.
     *
     * @param requestId the id that the node gave the request
     */
    void writeResponseHeaders(MessageBuilder message, String requestId);

    /** Returns a complete request that asks an endpoint for its health and load. */
    byte[] healthCheckRequest(MessageBuilder message, String endpointId);
}

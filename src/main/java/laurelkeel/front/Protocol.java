package laurelkeel.front;

import laurelkeel.front.ingress.ClientProtocol;
import laurelkeel.front.upstream.EndpointProtocol;
import laurelkeel.wire.MessageBuilder;

/** The protocol that a front node speaks on both sides. It translates messages and decides nothing. */
public interface Protocol extends ClientProtocol, EndpointProtocol {
    /**
     * Adds this hop's headers to a request on its way to an endpoint.
     *
     * @param attempt number of the attempt, from 0
     * @param remainingTicks how long the client still waits
     * @param timeoutTicks how long the node waits for this attempt
     */
    void writeAttemptHeaders(
            MessageBuilder message, String endpointId, int attempt, long remainingTicks, long timeoutTicks);

    /**
     * Adds this hop's headers to an endpoint's response on its way to the client.
     *
     * @param requestId the node's own id of the request
     */
    void writeResponseHeaders(MessageBuilder message, String requestId);

    /** A complete message that asks an endpoint for its health and load. */
    byte[] healthCheckRequest(MessageBuilder message, String endpointId);
}

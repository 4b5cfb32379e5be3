package laurelkeel.front;

import laurelkeel.front.ingress.ClientProtocol;
import laurelkeel.front.upstream.EndpointProtocol;
import laurelkeel.wire.MessageBuilder;

/** One protocol's words on both sides of a front. It translates; it decides nothing. */
public interface Protocol extends ClientProtocol, EndpointProtocol {
    /**
     * Adds this hop's lines to a req on its way to a machine.
     *
     * @param left tenths of a millisecond that its client still waits
     * @param within tenths of a millisecond that the front waits for this try
     */
    void writeAttemptHeaders(MessageBuilder to, String machine, int tryNo, long left, long within);

    /** Adds this hop's lines to a machine's answer on its way to the client; id is the front's own. */
    void writeResponseHeaders(MessageBuilder to, String id);

    /** A whole message that asks a machine how it does. */
    byte[] healthCheckRequest(MessageBuilder to, String machine);
}

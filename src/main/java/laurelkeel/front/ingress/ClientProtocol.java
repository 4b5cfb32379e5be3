package laurelkeel.front.ingress;

import laurelkeel.wire.HttpProtocolException;
import laurelkeel.wire.HttpRequest;
import laurelkeel.wire.HttpResponse;

/** How one protocol's clients say what they want, and the words of the answers they get. Called on any thread. */
public interface ClientProtocol {
    /** True where a message is for the front itself and names no route. */
    boolean isNodeRequest(HttpRequest http);

    /** Reads a req off its message; a 4xx says what is wrong with it. */
    ClientRequest parseRequest(HttpRequest http) throws HttpProtocolException;

    /** The answer to what cannot be taken; http is null where it could not be read. */
    HttpResponse badRequest(HttpProtocolException bad, HttpRequest http);

    /** Turned away before any decision: nothing was taken. */
    HttpResponse notAccepted(String why);

    /** Shed: asking again is harmless. after is in tenths of a millisecond, 0 for no advice. */
    HttpResponse rejected(long after, String why);

    /** Errored, which promises nothing of what ran; late where its time was up. */
    HttpResponse failed(boolean late, String why);
}

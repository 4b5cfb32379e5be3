package laurelkeel.front.ingress;

import laurelkeel.wire.HttpProtocolException;
import laurelkeel.wire.HttpRequest;
import laurelkeel.wire.HttpResponse;

/** How one protocol's clients say what they want, and the words of the answers they get. Called on any thread. */
public interface ClientProtocol {
    /** True where a message is for the front itself and names no route. */
    boolean own(HttpRequest http);

    /** Reads a req off its message; a 4xx says what is wrong with it. */
    ClientRequest asked(HttpRequest http) throws HttpProtocolException;

    /** The answer to what cannot be taken; http is null where it could not be read. */
    HttpResponse refusal(HttpProtocolException bad, HttpRequest http);

    /** Turned away before any decision: nothing was taken. */
    HttpResponse atDoor(String why);

    /** Shed: asking again is harmless. after is in tenths of a millisecond, 0 for no advice. */
    HttpResponse shed(long after, String why);

    /** Errored, which promises nothing of what ran; late where its time was up. */
    HttpResponse errored(boolean late, String why);
}

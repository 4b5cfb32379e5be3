package laurelkeel.front.ingress;

import laurelkeel.wire.BadHttp;
import laurelkeel.wire.HttpAnswer;
import laurelkeel.wire.HttpReq;

/** How one protocol's clients say what they want, and the words of the answers they get. Called on any thread. */
public interface ClientWords {
    /** True where a message is for the front itself and names no route. */
    boolean own(HttpReq http);

    /** Reads a req off its message; a 4xx says what is wrong with it. */
    Asked asked(HttpReq http) throws BadHttp;

    /** The answer to what cannot be taken; http is null where it could not be read. */
    HttpAnswer refusal(BadHttp bad, HttpReq http);

    /** Turned away before any decision: nothing was taken. */
    HttpAnswer atDoor(String why);

    /** Shed: asking again is harmless. after is in tenths of a millisecond, 0 for no advice. */
    HttpAnswer shed(long after, String why);

    /** Errored, which promises nothing of what ran; late where its time was up. */
    HttpAnswer errored(boolean late, String why);
}

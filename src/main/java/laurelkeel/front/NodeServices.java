package laurelkeel.front;

import java.io.IOException;
import java.util.List;
import laurelkeel.api.Action;
import laurelkeel.api.Decider;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.front.ingress.ClientRequest;
import laurelkeel.front.upstream.EndpointAddress;
import laurelkeel.wire.HttpRequest;
import laurelkeel.wire.HttpResponse;

/**
 * What a front is handed beside its decider: one protocol's words, its sources of news, and who keeps count of what
 * the front sees. It is complete once constructed: whatever the decision module asks for may be asked at once, also
 * before start. Called on the front's thread unless said otherwise; what it has learned it tells to the inbox of its Base.
 */
public interface NodeServices {
    Protocol protocol();

    Decider decider();

    /** Opens its sources, once; on the thread that starts the front, before the front's own thread runs. */
    void start(FrontStatus front) throws IOException;

    /** What ends its sources and threads, each to be run once the front has ended. */
    List<Runnable> closeTasks();

    /** Where a machine that the list named is reached. */
    EndpointAddress addressOf(String machine);

    /** Whether a try begun at a moment, which had to wait for its connection, may still be written. */
    default boolean mayStillSend(String machine, long begunAt) {
        return true;
    }

    /** The answer to a message for the front itself, whose health is as FrontStatus tells it. */
    HttpResponse answerNodeRequest(HttpRequest http, String health);

    // ---- what the decider asks for

    void castVote(Action.CastVote vote);

    void watchEndpoints(boolean on);

    void fetchEndpoints();

    void sendGossip(int to, byte[] bytes);

    // ---- what the front saw

    default void onTurn(int events) {}

    default void onAttemptStarted(int route) {}

    default void onAttemptEnded(String machine, long begunAt, ClientRequest asked, AttemptOutcome outcome) {}

    default void onCompleted(long number, String machine, long begunAt, ClientRequest asked) {}

    default void onAnswered(RequestOutcome how, long tenths) {}

    default void onOverdue(int route) {}
}

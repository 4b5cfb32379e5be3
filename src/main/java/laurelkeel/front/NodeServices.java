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
    Protocol dialect();

    Decider decider();

    /** Opens its sources, once; on the thread that starts the front, before the front's own thread runs. */
    void start(FrontStatus front) throws IOException;

    /** What ends its sources and threads, each to be run once the front has ended. */
    List<Runnable> ends();

    /** Where a machine that the list named is reached. */
    EndpointAddress place(String machine);

    /** Whether a try begun at a moment, which had to wait for its connection, may still be written. */
    default boolean stillMay(String machine, long begunAt) {
        return true;
    }

    /** The answer to a message for the front itself, whose health is as FrontStatus tells it. */
    HttpResponse own(HttpRequest http, String health);

    // ---- what the decider asks for

    void vote(Action.CastVote vote);

    void watchList(boolean on);

    void fetchList();

    void tell(int to, byte[] bytes);

    // ---- what the front saw

    default void turn(int events) {}

    default void tried(int route) {}

    default void tryEnded(String machine, long begunAt, ClientRequest asked, AttemptOutcome outcome) {}

    default void completed(long number, String machine, long begunAt, ClientRequest asked) {}

    default void answered(RequestOutcome how, long tenths) {}

    default void overdue(int route) {}
}

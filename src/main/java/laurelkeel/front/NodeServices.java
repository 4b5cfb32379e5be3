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
 * What a front node is given from outside: a protocol, a decider, sources of the control plane, and observers of what
 * the node does. Services are complete when constructed: whatever the decider asks for may be asked at once, also
 * before their start. They are called on the event loop's thread unless said otherwise, and add what they learn to the
 * {@link EventInbox} of the node's {@link NodeRuntime}.
 */
public interface NodeServices {
    /** The protocol of both sides. */
    Protocol protocol();

    /** The decider of the node. */
    Decider decider();

    /**
     * Opens the sources, once; on the thread that starts the node, before the event loop's thread runs.
     *
     * @param status of the node, for health checks and metrics
     * @throws IOException where a source cannot be opened; the close tasks are run then
     */
    void start(FrontStatus status) throws IOException;

    /** What ends the sources and threads, each to be run once the node has ended. */
    List<Runnable> closeTasks();

    /** Where an endpoint of the list is reached. */
    EndpointAddress addressOf(String endpointId);

    /**
     * Whether an attempt that had to wait for its connection may still be written.
     *
     * @param startedAtTicks when the attempt was started
     */
    default boolean mayStillSend(String endpointId, long startedAtTicks) {
        return true;
    }

    /**
     * The answer to a message for the node itself.
     *
     * @param health as {@link FrontStatus#health()} reports it
     */
    HttpResponse answerNodeRequest(HttpRequest message, String health);

    /** Carries out {@link Action.CastVote}. */
    void castVote(Action.CastVote vote);

    /** Carries out {@link Action.WatchEndpoints}. */
    void watchEndpoints(boolean enabled);

    /** Carries out {@link Action.FetchEndpoints}. */
    void fetchEndpoints();

    /** Carries out {@link Action.SendGossip}. */
    void sendGossip(int toNode, byte[] payload);

    /**
     * Called before a turn's events are handed to the decider.
     *
     * @param events how many there are
     */
    default void onTurn(int events) {}

    /** Called when an attempt is about to be started. */
    default void onAttemptStarted(int route) {}

    /** Called when an attempt has ended that was started at a moment. */
    default void onAttemptEnded(
            String endpointId, long startedAtTicks, ClientRequest request, AttemptOutcome outcome) {}

    /**
     * Called when an endpoint's response is about to be forwarded.
     *
     * @param requestNumber of the request among those of this incarnation, of which its id is made
     * @param startedAtTicks when the attempt was started
     */
    default void onCompleted(long requestNumber, String endpointId, long startedAtTicks, ClientRequest request) {}

    /**
     * Called when a request gets its final answer, or its client is gone.
     *
     * @param durationTicks since the request was accepted
     */
    default void onAnswered(RequestOutcome outcome, long durationTicks) {}

    /** Called when a request had no decision before its deadline. */
    default void onOverdue(int route) {}
}

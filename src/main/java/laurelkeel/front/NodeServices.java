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
 * The services that a front node depends on: a protocol, a decider, control-plane sources, and observers of the node's
 * operation. Services are usable once constructed: any action of the decider may be passed to them, also before their
 * start. They are called on the event loop's thread unless stated otherwise, and add their events to the
 * {@link EventInbox} of the node's {@link NodeRuntime}.
 */
public interface NodeServices {
    /** Returns the protocol of the client side and the endpoint side. */
    Protocol protocol();

    /** Returns the decider of the node. */
    Decider decider();

    /**
     * Opens the sources. Called once, on the thread that starts the node, before the event loop's thread runs.
     *
     * @param status the node's status, for health checks and metrics
     * @throws IOException if a source cannot be opened; the close tasks are run then
     */
    void start(FrontStatus status) throws IOException;

    /** Returns the tasks that close the sources and shut down the threads, each to be run once the node has ended. */
    List<Runnable> closeTasks();

    /** Returns the address of an endpoint of the endpoint list. */
    EndpointAddress addressOf(String endpointId);

    /**
     * Returns whether an attempt that had to wait for its connection may still be sent.
     *
     * @param startedAtTicks when the attempt was started
     */
    default boolean mayStillSend(String endpointId, long startedAtTicks) {
        return true;
    }

    /**
     * Returns the answer to a message that is addressed to the node itself.
     *
     * @param health the node's health, in the form of {@link FrontStatus#health()}
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
     * Called before a turn's events are passed to the decider.
     *
     * @param events the number of events
     */
    default void onTurn(int events) {}

    /** Called when an attempt is about to be started. */
    default void onAttemptStarted(int route) {}

    /** Called when an attempt has ended. */
    default void onAttemptEnded(
            String endpointId, long startedAtTicks, ClientRequest request, AttemptOutcome outcome) {}

    /**
     * Called when an endpoint's response is about to be forwarded.
     *
     * @param requestNumber the request's number within this incarnation, from which its id is derived
     * @param startedAtTicks when the attempt was started
     */
    default void onCompleted(long requestNumber, String endpointId, long startedAtTicks, ClientRequest request) {}

    /**
     * Called when a request gets its final answer, or its client has disconnected.
     *
     * @param durationTicks time since the request was accepted
     */
    default void onAnswered(RequestOutcome outcome, long durationTicks) {}

    /** Called when the decider made no decision on a request before its deadline. */
    default void onOverdue(int route) {}
}

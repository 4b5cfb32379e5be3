package laurelkeel.platform;

import laurelkeel.api.Event.ControlStatus;

/** A line from the control service, parsed into a typed message. */
sealed interface ControlServiceMessage {

    /** A message on a connection that has subscribed. */
    sealed interface Notification extends ControlServiceMessage {}

    /** The reply to a vote. */
    sealed interface VoteReply extends ControlServiceMessage {}

    /** The subscription was accepted. */
    record SubscriptionAccepted() implements Notification {}

    /** The service is alive and nothing has changed. */
    record Heartbeat() implements Notification {}

    /** The rollout state of the newest build. */
    record Progress(ReportedRollout state) implements Notification {}

    /**
     * The platform's statistics over one period for the attempts of all nodes at one build and route.
     *
     * @param route name of the route
     * @param failures number of attempts that failed
     * @param meanDurationTicks mean duration of the attempts that did not fail
     * @param ageTicks time since the end of the period
     */
    record Metrics(int build, String route, long attempts, long failures, long meanDurationTicks, long ageTicks)
            implements Notification {}

    /** A client complained about an incorrect response; this node ignores it. */
    record Complaint() implements Notification {}

    /** The vote was accepted. */
    record VoteAccepted(ReportedRollout state) implements VoteReply {}

    /** The vote was rejected. */
    record VoteRejected(ControlStatus status) implements VoteReply {}
}

package laurelkeel.platform;

import laurelkeel.api.Event.ControlStatus;

/** A line of the control service, as a typed message. */
sealed interface ControlServiceMessage {

    /** What it sends on a connection that has subscribed. */
    sealed interface Notification extends ControlServiceMessage {}

    /** How it answers a vote. */
    sealed interface VoteReply extends ControlServiceMessage {}

    /** The subscription is accepted. */
    record SubscriptionAccepted() implements Notification {}

    /** Nothing has changed; the service lives. */
    record Heartbeat() implements Notification {}

    /** The state of the newest build. */
    record Progress(ReportedRollout state) implements Notification {}

    /**
     * What the platform counted of all nodes' attempts at one build over a period.
     *
     * @param route the route's name
     * @param failures attempts that failed
     * @param meanDurationTicks of the attempts that did not fail
     * @param ageTicks since the period ended
     */
    record Metrics(int build, String route, long attempts, long failures, long meanDurationTicks, long ageTicks)
            implements Notification {}

    /** A client found an answer wrong. This node does not use it. */
    record Complaint() implements Notification {}

    /** The vote counts. */
    record VoteAccepted(ReportedRollout state) implements VoteReply {}

    /** The vote does not count. */
    record VoteRejected(ControlStatus status) implements VoteReply {}
}

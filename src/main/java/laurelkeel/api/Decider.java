package laurelkeel.api;

import java.util.List;

/**
 * Makes all decisions of one front node: it receives the events of a point in time and returns the actions to take
 * then. Implementations are deterministic, use no clock or source of randomness of their own, and are called by one
 * thread at a time.
 */
public interface Decider {
    /**
     * Handles events and returns the resulting actions.
     *
     * @param nowTicks the current time, on a monotonic clock
     * @param events all events since the last call, in order of arrival
     * @return the actions to execute, in order
     */
    List<Action> decide(long nowTicks, List<Event> events);

    /**
     * Returns whether an attempt that this decider has sent may be written now. Asked when a connection for it is available,
     * which may be long after the {@link Action.SendAttempt}. An attempt that is refused ends as NOT_SENT.
     *
     * @param attempt the attempt's number among those of its request
     * @param nowTicks the current time, on the clock of {@link #decide}
     */
    default WritePermission mayWrite(String requestId, int attempt, long nowTicks) {
        return WritePermission.UNLIMITED;
    }

    /** Creates the decider of a front node when the node starts. */
    interface Factory {
        /**
         * Creates a decider.
         *
         * @param seed the seed of the random numbers of this node
         */
        Decider create(Settings settings, long seed);
    }
}

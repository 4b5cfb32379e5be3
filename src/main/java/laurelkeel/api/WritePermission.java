package laurelkeel.api;

import org.jspecify.annotations.Nullable;

/**
 * A decider's answer to whether an attempt that it has sent may be written to a connection now. An attempt may wait for a
 * connection after the decision, and what the decision rested on may change meanwhile.
 *
 * @param refusal why the attempt must not be written; null if it may be
 * @param latestTicks the last tick at which its first byte may be written; meaningless if it is refused
 */
public record WritePermission(@Nullable Refusal refusal, long latestTicks) {

    /** Why an attempt must not be written any more. The first two reasons are known to the front node only. */
    public enum Refusal {
        /** The client is not known to be connected. */
        CLIENT_NOT_CONNECTED,
        /** The client's deadline has passed. */
        DEADLINE_PASSED,
        /** The request has its final answer, or the attempt has ended. */
        ATTEMPT_ENDED,
        /** The endpoint drains, has been removed or is another process now. */
        ENDPOINT_INACTIVE,
        /** The endpoint's build has been replaced or rolled back, or exceeds its exposure cap, which has fallen. */
        BUILD_NOT_SERVING,
        /** The request's key is bound to a later build. */
        KEY_BOUND_TO_LATER_BUILD,
        /** Endpoints may no longer recognize the attempt as a repeat of one that may have run. */
        REPEAT_NOT_RECOGNIZED
    }

    /** May be written at any time before the client's deadline. */
    public static final WritePermission UNLIMITED = new WritePermission(null, Long.MAX_VALUE);

    /** Returns a permission that ends after the given tick. */
    public static WritePermission until(long latestTicks) {
        return latestTicks == Long.MAX_VALUE ? UNLIMITED : new WritePermission(null, latestTicks);
    }

    /** Returns the answer for an attempt that must not be written. */
    public static WritePermission refused(Refusal refusal) {
        return new WritePermission(refusal, Long.MIN_VALUE);
    }

    /** Returns whether the attempt may be written now. */
    public boolean isGranted() {
        return refusal == null;
    }
}

package laurelkeel.front;

import laurelkeel.api.Ticks;
import laurelkeel.api.WritePermission;
import laurelkeel.api.WritePermission.Refusal;
import laurelkeel.front.ingress.ClientState;
import laurelkeel.front.upstream.OutgoingRequest;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The message of an attempt to its endpoint. The decision to send the attempt may be old by the time that a connection is
 * available, so this class asks the decider again then, and keeps to the answer's time limit right before the first byte is
 * written.
 */
final class AttemptMessage implements OutgoingRequest {
    private static final Logger LOG = LoggerFactory.getLogger(AttemptMessage.class);

    /** Opening a connection takes a few milliseconds, which is no wait worth a line. */
    private static final long LOGGED_WAIT_TICKS = 50 * Ticks.PER_MILLISECOND;

    private final NodeComponents components;
    private final AcceptedRequest request;
    private final DispatchedAttempt attempt;
    private final long deadlineTicks;
    /** The last tick at which the first byte may be written; read on I/O threads. */
    private volatile long latestWriteTicks;

    /** @param deadlineTicks when this node stops waiting for the response */
    AttemptMessage(NodeComponents components, AcceptedRequest request, DispatchedAttempt attempt, long deadlineTicks) {
        this.components = components;
        this.request = request;
        this.attempt = attempt;
        this.deadlineTicks = deadlineTicks;
    }

    /** Assembles the message when it is about to be written, since its headers state the remaining time. */
    @Override
    public byte @Nullable [] createMessage() {
        long nowTicks = components.loop().nowTicks();
        WritePermission permission = permission(nowTicks);
        logAfterWait(permission, nowTicks);
        if (!permission.isGranted()) {
            return null;
        }
        latestWriteTicks = Math.min(permission.latestTicks(), request.deadlineTicks());
        components
                .protocol()
                .writeAttemptHeaders(
                        components.messageBuilder(),
                        attempt.endpointId(),
                        attempt.number(),
                        request.deadlineTicks() - nowTicks,
                        deadlineTicks - nowTicks);
        return request.clientRequest().forwarded().assemble(components.messageBuilder(), true);
    }

    private WritePermission permission(long nowTicks) {
        if (request.connection().clientState() != ClientState.CONNECTED) {
            return WritePermission.refused(Refusal.CLIENT_NOT_CONNECTED);
        }
        if (hasWaited(nowTicks)) {
            if (request.isAnswered()) {
                return WritePermission.refused(Refusal.ATTEMPT_ENDED);
            }
            if (request.isExpired(nowTicks)) {
                return WritePermission.refused(Refusal.DEADLINE_PASSED);
            }
            if (!components.services().mayStillSend(attempt.endpointId(), attempt.startedAtTicks())) {
                return WritePermission.refused(Refusal.ENDPOINT_INACTIVE);
            }
        }
        return components.services().decider().mayWrite(request.id(), attempt.number(), nowTicks);
    }

    private boolean hasWaited(long nowTicks) {
        return nowTicks > attempt.startedAtTicks();
    }

    private void logAfterWait(WritePermission permission, long nowTicks) {
        long waitedTicks = nowTicks - attempt.startedAtTicks();
        if (!permission.isGranted() || waitedTicks >= LOGGED_WAIT_TICKS) {
            LOG.info(
                    "request {} ({}) attempt {} at {} waited {} ms for a connection: {}",
                    request.id(),
                    request.clientRequest().clientRequestId(),
                    attempt.number(),
                    attempt.endpointId(),
                    waitedTicks / (double) Ticks.PER_MILLISECOND,
                    permission.isGranted() ? "written" : "not written, " + permission.refusal());
        }
    }

    @Override
    public boolean isHeadRequest() {
        return request.clientRequest().headRequest();
    }

    /**
     * Asked on an I/O thread, which may be held up after the event loop built the message, and may have read the end of the
     * client's connection since.
     */
    @Override
    public boolean mayBeWritten() {
        return request.connection().clientState() != ClientState.ENDED
                && components.loop().clockTicks() <= latestWriteTicks;
    }
}

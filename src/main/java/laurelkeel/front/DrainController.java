package laurelkeel.front;

import laurelkeel.api.Ticks;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.ingress.Ingress;
import laurelkeel.front.ingress.IngressSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Shuts a front node down gracefully: active requests are answered before their deadlines, and new ones are accepted
 * only during the lame-duck period, in which clients learn that the node is shutting down. No connection is closed in
 * that period. After it idle connections are closed, and the next request on any other one is its last. A request that
 * arrives during the drain gets no more time than the node has. Used on the event loop's thread, except {@link #drain()}.
 */
final class DrainController {
    private static final Logger LOG = LoggerFactory.getLogger(DrainController.class);

    /** The node ends after being idle for this long, since a connection may still wait in the listener's backlog. */
    private static final long QUIET_PERIOD_TICKS = 200 * Ticks.PER_MILLISECOND;

    private static final long QUIET_CHECK_INTERVAL_TICKS = 10 * Ticks.PER_MILLISECOND;
    private static final long CLOSE_IDLE_INTERVAL_TICKS = 500 * Ticks.PER_MILLISECOND;

    private final NodeComponents components;
    private final EventLoop loop;
    private final Ingress ingress;
    private final NodeLifecycle lifecycle;
    private final AcceptedRequestTable requests;
    private final long maxDrainTicks;
    private final long lameDuckTicks;
    private final long drainDeadlineTicks;
    private boolean isListening = true;

    DrainController(
            NodeComponents components,
            NodeLifecycle lifecycle,
            AcceptedRequestTable requests,
            IngressSettings settings) {
        this.components = components;
        this.lifecycle = lifecycle;
        this.requests = requests;
        loop = components.loop();
        ingress = components.ingress();
        maxDrainTicks = settings.maxDrainTicks();
        lameDuckTicks = settings.lameDuckTicks();
        drainDeadlineTicks = settings.drainDeadlineTicks();
    }

    /**
     * Starts the drain, or does so once the node serves requests. Thread-safe; may be called before the node's start.
     */
    void drain() {
        loop.post(() -> {
            if (lifecycle.state() == NodeState.SERVING) {
                startDraining();
            }
        });
    }

    private void startDraining() {
        lifecycle.enter(
                NodeState.DRAINING,
                "drain requested; " + requests.size() + " active requests, " + ingress.openConnections()
                        + " client connections");
        if (drainDeadlineTicks > 0) {
            lifecycle.limitAnswers(loop.nowTicks() + drainDeadlineTicks);
        }
        if (lameDuckTicks > 0) {
            loop.schedule(loop.nowTicks() + lameDuckTicks, this::stopAccepting);
        } else {
            stopAccepting();
        }
    }

    private void stopAccepting() {
        lifecycle.startClosingConnections();
        // not on the event loop's thread, since it may have to wait for the thread that accepts connections
        components.runtime().timer().execute(this::closeListener);
        loop.schedule(
                loop.nowTicks() + Math.max(components.settings().longestTimeoutTicks(), maxDrainTicks), loop::stop);
        if (lameDuckTicks > 0) {
            closeIdleRepeatedly();
        }
        awaitQuiet(loop.nowTicks());
    }

    private void closeListener() {
        try {
            ingress.unbind();
        } catch (RuntimeException e) {
            LOG.error("the listener could not be closed", e);
        }
        loop.post(() -> isListening = false);
    }

    /**
     * Closes idle connections at an interval. A connection can become idle after a response that did not close it, for
     * example one that was written as the drain began.
     */
    private void closeIdleRepeatedly() {
        loop.schedule(loop.nowTicks() + CLOSE_IDLE_INTERVAL_TICKS, this::closeIdleRepeatedly);
        ingress.closeIdle();
    }

    /**
     * Stops the loop after the quiet period. Within it, connections that waited in the backlog may still be accepted,
     * and responses that were written are sent.
     *
     * @param lastBusyTicks the last time at which the node was not idle
     */
    private void awaitQuiet(long lastBusyTicks) {
        long now = loop.nowTicks();
        long busyTicks = isBusy() ? now : lastBusyTicks;
        if (now - busyTicks >= QUIET_PERIOD_TICKS) {
            loop.stop();
        } else {
            loop.schedule(now + QUIET_CHECK_INTERVAL_TICKS, () -> awaitQuiet(busyTicks));
        }
    }

    private boolean isBusy() {
        boolean mayConnect = isListening || (lameDuckTicks > 0 && ingress.openConnections() > 0);
        return mayConnect || requests.hasUnanswered();
    }
}

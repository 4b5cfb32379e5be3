package laurelkeel.front;

import laurelkeel.api.Settings;
import laurelkeel.api.Ticks;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.ingress.Ingress;
import laurelkeel.front.ingress.IngressSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Shuts a front node down gracefully: active requests are answered in their time, and new ones are taken only for the
 * lame-duck period, in which clients still learn that the node is leaving. No connection ends within that period;
 * after it idle ones do, and what still arrives on others is served as their last request. Apart from {@link #drain()}
 * it runs on the event loop's thread.
 */
final class DrainController {
    private static final Logger LOG = LoggerFactory.getLogger(DrainController.class);

    /** The node ends once nothing has been left to do for so long: a connection may still be in the backlog. */
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
    }

    /** Starts the drain once the node serves; from any thread, also before the node's start. */
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
        if (lameDuckTicks > 0) {
            loop.schedule(loop.nowTicks() + lameDuckTicks, this::stopAccepting);
        } else {
            stopAccepting();
        }
    }

    private void stopAccepting() {
        lifecycle.startClosingConnections();
        // off the loop, for it may have to wait for the thread that accepts
        components.runtime().timer().execute(this::closeListener);
        loop.schedule(loop.nowTicks() + Math.max(longestRouteTimeoutTicks(), maxDrainTicks), loop::stop);
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

    private long longestRouteTimeoutTicks() {
        return components.settings().routes().stream()
                .mapToLong(Settings.Route::timeoutTicks)
                .max()
                .orElse(0);
    }

    /** Connections also become idle without an answer that ends them, as after one that crossed with the drain. */
    private void closeIdleRepeatedly() {
        loop.schedule(loop.nowTicks() + CLOSE_IDLE_INTERVAL_TICKS, this::closeIdleRepeatedly);
        ingress.closeIdle();
    }

    /**
     * Stops the loop after the quiet period, in which a connection that waited in the backlog may still arrive and
     * written responses leave.
     *
     * @param lastBusyTicks the last moment at which something was left to do
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

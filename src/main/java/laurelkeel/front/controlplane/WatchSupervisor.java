package laurelkeel.front.controlplane;

import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Manages one watch on a service. When the watch ends without having been cancelled, the supervisor either reopens it after
 * a backoff or notifies its owner.
 * Thread-safe.
 */
final class WatchSupervisor {
    private static final Logger LOG = LoggerFactory.getLogger(WatchSupervisor.class);

    private final ControlPlaneClient client;
    private final String name;
    private final Supplier<String> path;
    private final Consumer<String> onLine;
    private final Runnable onEnded;
    private final ReconnectBackoff backoff;
    private @Nullable LineWatch watch;
    private boolean closed;

    private WatchSupervisor(
            ControlPlaneClient client,
            String name,
            Supplier<String> path,
            Consumer<String> onLine,
            long seed,
            @Nullable Runnable onEnded) {
        this.client = client;
        this.name = name;
        this.path = path;
        this.onLine = onLine;
        this.onEnded = onEnded == null ? this::reopenAfterBackoff : onEnded;
        backoff = new ReconnectBackoff(seed);
    }

    /**
     * Creates a supervisor that reopens its watch whenever it ends.
     *
     * @param name the name of the watched resource, for the log
     * @param path supplies the path each time the watch is opened
     * @param onLine called on the HTTP client's threads, for one line at a time
     * @param seed determines the random part of the reconnect backoff
     */
    static WatchSupervisor reconnecting(
            ControlPlaneClient client, String name, Supplier<String> path, Consumer<String> onLine, long seed) {
        return new WatchSupervisor(client, name, path, onLine, seed, null);
    }

    /**
     * Creates a supervisor that leaves reopening the watch to its owner.
     *
     * @param onEnded called each time the watch ends without having been cancelled
     */
    static WatchSupervisor notifying(
            ControlPlaneClient client, String name, Supplier<String> path, Consumer<String> onLine, Runnable onEnded) {
        return new WatchSupervisor(client, name, path, onLine, 0, onEnded);
    }

    /** Opens the watch, unless the supervisor is closed. */
    synchronized void open() {
        if (closed) {
            return;
        }
        try {
            watch = client.openWatch(path.get(), onLine, this::onWatchEnded);
        } catch (RuntimeException e) {
            onWatchEnded(e.toString());
        }
    }

    /** Cancels the watch if it is open, and opens a new one. */
    synchronized void reopen() {
        cancel();
        open();
    }

    /** Cancels the watch if it is open; it may be reopened. */
    synchronized void cancel() {
        if (watch != null) {
            watch.cancel();
            watch = null;
        }
    }

    /** Cancels the watch; later calls of {@link #open} have no effect. */
    synchronized void close() {
        closed = true;
        cancel();
    }

    /** Resets the backoff because the service works, so that the next reconnect is fast. */
    void resetBackoff() {
        backoff.reset();
    }

    private synchronized void onWatchEnded(String reason) {
        watch = null;
        if (!closed) {
            LOG.warn("the watch on the {} ended: {}", name, reason);
            onEnded.run();
        }
    }

    private void reopenAfterBackoff() {
        client.schedule(this::open, backoff.nextDelayMillis());
    }
}

package laurelkeel.front.controlplane;

import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds one watch of a service and acts when it ends by itself: either reconnects after a backoff, or notifies its owner.
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
     * Creates a supervisor that opens its watch again whenever it ends.
     *
     * @param name of what is watched, for the log
     * @param path read anew each time that the watch is opened
     * @param onLine called on the HTTP client's threads, for one line at a time
     * @param seed of the random part of the backoff
     */
    static WatchSupervisor reconnecting(
            ControlPlaneClient client, String name, Supplier<String> path, Consumer<String> onLine, long seed) {
        return new WatchSupervisor(client, name, path, onLine, seed, null);
    }

    /**
     * Creates a supervisor that leaves it to its owner to open the watch again.
     *
     * @param onEnded called each time that the watch has ended by itself
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
            watch = client.openWatch(path.get(), onLine, this::ended);
        } catch (RuntimeException e) {
            ended(e.toString());
        }
    }

    /** Opens the watch in place of one that may be open. */
    synchronized void reopen() {
        cancel();
        open();
    }

    /** Ends the watch where one is open; it may be opened again. */
    synchronized void cancel() {
        if (watch != null) {
            watch.cancel();
            watch = null;
        }
    }

    /** Ends the watch for good. */
    synchronized void close() {
        closed = true;
        cancel();
    }

    /** Notes that the service works, so that the next reconnect comes soon. */
    void resetBackoff() {
        backoff.reset();
    }

    private synchronized void ended(String reason) {
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

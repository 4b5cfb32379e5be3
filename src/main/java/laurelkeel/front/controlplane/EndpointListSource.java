package laurelkeel.front.controlplane;

import java.net.http.HttpResponse;
import laurelkeel.eventloop.EventLoop;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Receives the endpoint list from its service. If the list is pushed, the source keeps a watch open from its start on; if
 * it is polled, the source makes calls only on request and reports failed ones. A delta that does not apply to the current
 * version is discarded, and the whole list is fetched instead. Thread-safe.
 */
public final class EndpointListSource {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointListSource.class);

    private static final String WATCH_PATH = "/list/watch";
    private static final String LIST_PATH = "/list";
    private static final long FETCH_HEADER_TIMEOUT_MILLIS = ControlPlaneClient.SILENCE_TIMEOUT_MILLIS;
    private static final long FETCH_TIMEOUT_MILLIS = 2 * FETCH_HEADER_TIMEOUT_MILLIS;
    private static final int OK = 200;
    private static final long NO_VERSION = -1;

    /** Receives updates on the event loop's thread, ahead of traffic. */
    public interface Listener {
        /**
         * Called when a version of the list has arrived.
         *
         * @param arrivedAtTicks when the message was read
         */
        void onList(EndpointListMessage list, long arrivedAtTicks);

        /** Called when a fetch failed, or when a watch ended that is not reopened automatically. */
        void onFailure();
    }

    private final ControlPlaneClient client;
    private final EventLoop loop;
    private final Listener listener;
    private final boolean isPushed;
    private final WatchSupervisor watch;
    private long version = NO_VERSION;
    private boolean isFetching;
    private boolean closed;

    /**
     * Creates a source that makes no call before {@link #start}.
     *
     * @param isPushed whether the list is pushed: the source then keeps a watch open and reopens it when it ends
     * @param seed determines the random part of the reconnect backoff
     */
    public EndpointListSource(ControlPlaneClient client, boolean isPushed, long seed, Listener listener) {
        this.client = client;
        this.isPushed = isPushed;
        this.listener = listener;
        loop = client.loop();
        watch = isPushed
                ? WatchSupervisor.reconnecting(client, "endpoint list", this::watchPath, this::onWatchLine, seed)
                : WatchSupervisor.notifying(
                        client, "endpoint list", this::watchPath, this::onWatchLine, this::reportFailure);
    }

    /** Opens the watch if the list is pushed. */
    public void start() {
        if (isPushed) {
            watch.open();
        }
    }

    /** Ends the watch; no further calls are made. */
    public void close() {
        synchronized (this) {
            closed = true;
        }
        watch.close();
    }

    /** Subscribes to changes, starting with those missed since the current version, or ends the subscription. */
    public void watch(boolean enabled) {
        if (enabled) {
            watch.reopen();
        } else {
            watch.cancel();
        }
    }

    private synchronized String watchPath() {
        return version == NO_VERSION ? WATCH_PATH : WATCH_PATH + "?after=" + version;
    }

    private void reportFailure() {
        loop.postPriority(listener::onFailure);
    }

    /** Fetches the whole list, unless a fetch is already in progress. */
    public void fetch() {
        synchronized (this) {
            if (closed || isFetching) {
                return;
            }
            isFetching = true;
        }
        ControlPlaneClient.whenDone(
                client.get(LIST_PATH, FETCH_HEADER_TIMEOUT_MILLIS, FETCH_TIMEOUT_MILLIS), this::onFetched);
    }

    private void onFetched(@Nullable HttpResponse<String> response, @Nullable Throwable failure) {
        synchronized (this) {
            isFetching = false;
        }
        if (response != null && response.statusCode() == OK) {
            onText(response.body(), true);
            return;
        }
        LOG.warn(
                "cannot fetch the endpoint list: {}",
                response != null ? "status " + response.statusCode() : String.valueOf(failure));
        reportFailure();
    }

    private void onWatchLine(String line) {
        onText(line, false);
    }

    private void onText(String text, boolean isFetched) {
        long arrivedAtTicks = loop.clockTicks();
        try {
            EndpointListJson json = EndpointListJson.read(text);
            if (json == null) {
                return;
            }
            if (!isFetched) {
                watch.resetBackoff();
            }
            EndpointListMessage list = json.parse();
            if (list != null) {
                apply(list, isFetched, arrivedAtTicks);
            }
        } catch (InvalidMessageException e) {
            LOG.warn("ignoring an invalid endpoint list message: {}", e.getMessage());
        }
    }

    private synchronized void apply(EndpointListMessage list, boolean isFetched, long arrivedAtTicks) {
        if (isFetched && list.version() < version) {
            // the watch has delivered a later version since the fetch began
            return;
        }
        if (!list.isSnapshot() && list.previousVersion() != version) {
            LOG.warn(
                    "endpoint list version {} is not the base of the delta to version {}; fetching the whole list",
                    version,
                    list.version());
            fetch();
            return;
        }
        version = list.version();
        loop.postPriority(() -> listener.onList(list, arrivedAtTicks));
    }
}

package laurelkeel.front.controlplane;

import java.net.http.HttpResponse;
import laurelkeel.eventloop.EventLoop;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the endpoint list service. Where the list is pushed, it keeps a watch open from its start on; where it is
 * polled, it makes calls only when asked to and reports when one failed. Changes that do not follow the version at hand
 * are never applied: the whole list is fetched instead. Thread-safe.
 */
public final class EndpointListSource {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointListSource.class);

    private static final String WATCH_PATH = "/list/watch";
    private static final String LIST_PATH = "/list";
    private static final long FETCH_HEADER_TIMEOUT_MILLIS = ControlPlaneClient.SILENCE_TIMEOUT_MILLIS;
    private static final long FETCH_TIMEOUT_MILLIS = 2 * FETCH_HEADER_TIMEOUT_MILLIS;
    private static final int OK = 200;
    private static final long NO_VERSION = -1;

    /** Receives what the source learns, on the event loop's thread and ahead of traffic. */
    public interface Listener {
        /**
         * A version of the list has come in.
         *
         * @param arrivedAtTicks when its bytes were read
         */
        void onList(EndpointListMessage list, long arrivedAtTicks);

        /** A fetch failed, or a watch that is not opened again by itself has ended. */
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
     * Creates a source that makes no call before its start.
     *
     * @param isPushed whether the source keeps a watch open by itself
     * @param seed of the random part of the backoff
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

    /** Opens the watch of a pushed list. */
    public void start() {
        if (isPushed) {
            watch.open();
        }
    }

    /** Ends the watch; no further call is made. */
    public void close() {
        synchronized (this) {
            closed = true;
        }
        watch.close();
    }

    /** Subscribes to changes, of which the missed ones come first, or ends the subscription. */
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

    /** Fetches the whole list once; while a response is awaited, it stands for all calls. */
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
                "the endpoint list could not be fetched: {}",
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
            LOG.warn("a line of the endpoint list is passed over: {}", e.getMessage());
        }
    }

    private synchronized void apply(EndpointListMessage list, boolean isFetched, long arrivedAtTicks) {
        if (isFetched && list.version() < version) {
            // later changes came by the watch meanwhile
            return;
        }
        if (!list.isSnapshot() && list.previousVersion() != version) {
            LOG.warn("the endpoint list jumped from version {} to {}; fetching all of it", version, list.version());
            fetch();
            return;
        }
        version = list.version();
        loop.postPriority(() -> listener.onList(list, arrivedAtTicks));
    }
}

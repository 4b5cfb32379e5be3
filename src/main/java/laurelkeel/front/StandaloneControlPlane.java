package laurelkeel.front;

import java.io.IOException;
import java.net.http.HttpClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import laurelkeel.api.Action;
import laurelkeel.api.Event;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Settings;
import laurelkeel.api.Ticks;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.eventloop.LoopThreads;
import laurelkeel.front.controlplane.ControlPlaneClient;
import laurelkeel.front.controlplane.EndpointListMessage;
import laurelkeel.front.controlplane.EndpointListSource;
import laurelkeel.front.controlplane.GossipChannel;
import laurelkeel.front.controlplane.RolloutMessage;
import laurelkeel.front.controlplane.RolloutSource;
import laurelkeel.front.controlplane.VoteResponse;
import org.jspecify.annotations.Nullable;

/**
 * The connections of a standalone front node to its control plane and to other nodes: endpoint list, rollouts, votes,
 * reports and gossip. Services that the settings do not name are omitted. Not thread-safe; used on the event loop's
 * thread once the node has started.
 */
final class StandaloneControlPlane {
    private static final int HTTP_THREADS = 2;
    private static final Duration HTTP_CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final long REPORT_INTERVAL_TICKS = 500 * Ticks.PER_MILLISECOND;

    /** Makes the random backoffs of nodes differ even if they are configured with the same seed. */
    private static final long SEED_STRIDE = 100_003;

    private final FrontSettings settings;
    private final Settings decisionSettings;
    private final NodeRuntime runtime;
    private final EventLoop loop;
    private final EventInbox inbox;
    private final BuildAttributions attributions;
    private final ControlPlaneRecorder recorder;
    private final EndpointListTranslator endpointLists;
    private final RolloutTranslator rollouts;
    private final ExecutorService httpThreads;
    private final @Nullable RolloutSource rolloutSource;
    private final AttributionReporter reporter;
    private final @Nullable EndpointListSource endpointListSource;
    private final @Nullable GossipChannel gossip;

    /**
     * Creates the parts, opens the record file and adds the cached endpoint list to the inbox.
     *
     * @throws IOException if the record file cannot be opened
     */
    StandaloneControlPlane(FrontSettings settings, NodeRuntime runtime, BuildAttributions attributions)
            throws IOException {
        this.settings = settings;
        this.runtime = runtime;
        this.attributions = attributions;
        decisionSettings = settings.decisionSettings();
        loop = runtime.loop();
        inbox = runtime.inbox();
        recorder = new ControlPlaneRecorder(
                settings.recordFile(), decisionSettings.nodeIndex(), runtime.incarnation(), loop);
        endpointLists = new EndpointListTranslator(
                settings.zones(), loop, new EndpointListCache(settings.stateDirectory(), runtime.timer()), recorder);
        rollouts = new RolloutTranslator(loop, recorder);
        httpThreads = LoopThreads.fixedPool(loop, "front-news", HTTP_THREADS);
        HttpClient http = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .executor(httpThreads)
                .connectTimeout(HTTP_CONNECT_TIMEOUT)
                .build();
        rolloutSource = createRolloutSource(http);
        reporter = new AttributionReporter(decisionSettings, runtime.incarnation(), this::sendReport);
        endpointListSource = createEndpointListSource(http);
        gossip = createGossipChannel();
        // so that the decider gets the list stored by the previous incarnation in its first turn
        onEndpointList(endpointLists.cachedList());
    }

    private long backoffSeed() {
        return 2 * (settings.seed() * SEED_STRIDE + decisionSettings.nodeIndex());
    }

    private @Nullable EndpointListSource createEndpointListSource(HttpClient http) {
        if (settings.endpointListAddress() == null) {
            return null;
        }
        return new EndpointListSource(
                new ControlPlaneClient(http, settings.endpointListAddress(), runtime.timer(), loop),
                !decisionSettings.capabilities().endpointPolling(),
                backoffSeed(),
                new EndpointListSource.Listener() {
                    @Override
                    public void onList(EndpointListMessage list, long arrivedAtTicks) {
                        onEndpointList(endpointLists.translate(list, arrivedAtTicks));
                    }

                    @Override
                    public void onFailure() {
                        inbox.add(new Event.EndpointListUpdate(EndpointListKind.FAILED, List.of()));
                    }
                });
    }

    private @Nullable RolloutSource createRolloutSource(HttpClient http) {
        if (settings.rolloutServiceAddress() == null) {
            return null;
        }
        return new RolloutSource(
                new ControlPlaneClient(http, settings.rolloutServiceAddress(), runtime.timer(), loop),
                decisionSettings.nodeIndex(),
                backoffSeed() + 1,
                new RolloutSource.Listener() {
                    @Override
                    public void onMessage(RolloutMessage message, long arrivedAtTicks) {
                        rollouts.translate(message, arrivedAtTicks).forEach(inbox::add);
                        attributions.update(message.build(), message.attribution());
                    }

                    @Override
                    public void onVoteEnded(int build, VoteResponse response, long arrivedAtTicks) {
                        inbox.add(rollouts.translate(build, response, arrivedAtTicks));
                    }
                });
    }

    private @Nullable GossipChannel createGossipChannel() {
        if (settings.gossipAddress() == null) {
            return null;
        }
        return new GossipChannel(
                decisionSettings.nodeIndex(),
                settings.gossipAddress(),
                settings.gossipPeers(),
                loop,
                runtime.socketThreads(),
                (fromNode, payload) -> inbox.add(new Event.GossipReceived(fromNode, payload)));
    }

    private void onEndpointList(Event.EndpointListUpdate update) {
        reporter.onEndpoints(update);
        inbox.add(update);
    }

    private void sendReport(AttributionReport report) {
        if (rolloutSource != null) {
            rolloutSource.report(report);
        }
    }

    private void reportRepeatedly() {
        loop.schedule(loop.nowTicks() + REPORT_INTERVAL_TICKS, this::reportRepeatedly);
        reporter.report(loop.nowTicks());
    }

    /** Returns the reporter of each build's outcomes to the control service. */
    AttributionReporter reporter() {
        return reporter;
    }

    /** Returns the recorder of control-plane updates. */
    ControlPlaneRecorder recorder() {
        return recorder;
    }

    /**
     * Starts the reports and opens the gossip socket. Called on the thread that starts the node.
     *
     * @throws IOException if the gossip address cannot be bound
     */
    void startReportsAndGossip() throws IOException {
        loop.post(this::reportRepeatedly);
        if (gossip != null) {
            gossip.open();
        }
    }

    /** Opens the watches. Called on the thread that starts the node. */
    void startWatches() {
        if (endpointListSource != null) {
            endpointListSource.start();
        }
        if (rolloutSource != null) {
            rolloutSource.start();
        }
    }

    /** Returns the tasks that close the watches and the gossip socket. */
    List<Runnable> closeTasks() {
        List<Runnable> tasks = new ArrayList<>();
        if (endpointListSource != null) {
            tasks.add(endpointListSource::close);
        }
        if (rolloutSource != null) {
            tasks.add(rolloutSource::close);
        }
        if (gossip != null) {
            tasks.add(gossip::close);
        }
        return tasks;
    }

    /**
     * Returns the tasks that shut down the threads and close the record file; run after the tasks of all their users.
     */
    List<Runnable> finalCloseTasks() {
        return List.of(httpThreads::shutdown, recorder::close);
    }

    /** Carries out {@link Action.CastVote}; without a control service the vote fails. */
    void castVote(Action.CastVote vote) {
        if (rolloutSource == null) {
            inbox.add(RolloutUpdates.voteFailed(0));
            return;
        }
        long timeoutMillis = decisionSettings.rollout().voteTimeoutTicks() / Ticks.PER_MILLISECOND;
        rolloutSource.vote(vote, Math.max(1, timeoutMillis));
    }

    /** Carries out {@link Action.WatchEndpoints}. */
    void watchEndpoints(boolean enabled) {
        if (endpointListSource != null) {
            endpointListSource.watch(enabled);
        }
    }

    /** Carries out {@link Action.FetchEndpoints}. */
    void fetchEndpoints() {
        if (endpointListSource != null) {
            endpointListSource.fetch();
        }
    }

    /**
     * Carries out {@link Action.SendGossip}.
     *
     * @return whether gossip is enabled and has an address
     */
    boolean sendGossip(int toNode, byte[] payload) {
        if (gossip == null || !decisionSettings.capabilities().gossip()) {
            return false;
        }
        gossip.send(toNode, payload);
        return true;
    }
}
